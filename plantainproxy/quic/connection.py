"""An aioquic server connection with connection IDs chosen by the sidecar.

aioquic has no public API for choosing connection IDs. Only this module uses private
members of its connection class. The version of aioquic is pinned, and the tests of
this package fail if an upgrade changes these members.
"""

from collections import abc
import dataclasses
import functools
import logging
import pathlib

from aioquic import _buffer
from aioquic.quic import configuration as quic_configuration
from aioquic.quic import connection as quic_connection
from aioquic.quic import events as quic_events
from aioquic.quic import packet, packet_builder

from plantainproxy import _exceptions
from plantainproxy.quic import header
from plantainproxy.wire import connection_id

ALPN = "h3"
"""The only application protocol that callers may negotiate."""
MAX_ACTIVE_IDS = 4
"""Maximum number of active connection IDs of one connection."""

POST_HANDSHAKE_BUFFER_BYTES = 1
"""After the handshake a caller sends no TLS messages that need to be buffered."""

# Each connection requests the same sets of packet types; the cache shares one copy.
quic_connection.EPOCHS = functools.cache(quic_connection.EPOCHS)

# aioquic logs each frame error of a peer; the endpoint counts errors instead.
logging.getLogger("quic").setLevel(logging.CRITICAL)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IssuedId:
    """A connection ID and its stateless reset token."""

    value: bytes
    reset_token: bytes


IdIssuer = abc.Callable[[], IssuedId]
"""Returns a new, unused connection ID."""


def server_configuration(
    *,
    certificate_file: str,
    private_key_file: str,
    idle_timeout_seconds: float,
    max_body_bytes: int,
) -> quic_configuration.QuicConfiguration:
    """Load the certificate and set the limits that apply to each connection."""
    configuration = quic_configuration.QuicConfiguration(
        is_client=False,
        alpn_protocols=[ALPN],
        connection_id_length=connection_id.BYTES,
        idle_timeout=idle_timeout_seconds,
        max_data=max_body_bytes,
        max_stream_data=max_body_bytes,
        supported_versions=[packet.QuicProtocolVersion.VERSION_1],
    )
    try:
        configuration.load_cert_chain(
            pathlib.Path(certificate_file), pathlib.Path(private_key_file)
        )
    except (OSError, ValueError, IndexError) as error:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.INVALID_SETTINGS,
            f"cannot load {certificate_file} and {private_key_file}: {error}",
        ) from None
    return configuration


class ServerConnection(quic_connection.QuicConnection):
    """An aioquic server connection that obtains its IDs from a callback."""

    def __init__(
        self,
        *,
        configuration: quic_configuration.QuicConfiguration,
        opening_id: bytes,
        issue_id: IdIssuer,
    ) -> None:
        """Replace the first ID that aioquic chose, before any datagram is received."""
        super().__init__(
            configuration=configuration, original_destination_connection_id=opening_id
        )
        self.issue_id = issue_id
        self.retire_prior_to = 0
        """The caller must retire IDs with lower sequence numbers."""
        first_id = issue_id()
        self._host_cids[0].cid = first_id.value
        self._host_cids[0].stateless_reset_token = first_id.reset_token
        self.host_cid = first_id.value
        self._local_initial_source_connection_id = first_id.value

    def rotate_ids(self) -> None:
        """Issue new IDs and request that the caller retire all earlier ones.

        Before the handshake is complete this has no effect.
        """
        if not self._handshake_complete:
            return
        self.retire_prior_to = self._host_cid_seq
        self._replenish_connection_ids()

    def _replenish_connection_ids(self) -> None:
        target_count = min(MAX_ACTIVE_IDS, self._remote_active_connection_id_limit)
        active_count = sum(
            host_cid.sequence_number >= self.retire_prior_to
            for host_cid in self._host_cids
        )
        for _ in range(target_count - active_count):
            issued = self.issue_id()
            self._host_cids.append(
                quic_connection.QuicConnectionId(
                    cid=issued.value,
                    sequence_number=self._host_cid_seq,
                    stateless_reset_token=issued.reset_token,
                )
            )
            self._host_cid_seq += 1

    def _write_new_connection_id_frame(
        self,
        builder: packet_builder.QuicPacketBuilder,
        connection_id: quic_connection.QuicConnectionId,
    ) -> None:
        sequence_number = connection_id.sequence_number
        buffer = builder.start_frame(
            packet.QuicFrameType.NEW_CONNECTION_ID,
            capacity=quic_connection.NEW_CONNECTION_ID_FRAME_CAPACITY,
            handler=self._on_new_connection_id_delivery,
            handler_args=(connection_id,),
        )
        buffer.push_uint_var(sequence_number)
        buffer.push_uint_var(min(self.retire_prior_to, sequence_number))
        buffer.push_uint8(len(connection_id.cid))
        buffer.push_bytes(connection_id.cid)
        buffer.push_bytes(connection_id.stateless_reset_token)
        connection_id.was_sent = True
        self._events.append(
            quic_events.ConnectionIdIssued(connection_id=connection_id.cid)
        )


def release_handshake_buffers(quic: ServerConnection) -> None:
    """Free the buffers used only by the handshake, 48 KiB per connection."""
    quic._crypto_buffers = {
        epoch: _buffer.Buffer(capacity=POST_HANDSHAKE_BUFFER_BYTES)
        for epoch in quic._crypto_buffers
    }


def has_started(quic: ServerConnection) -> bool:
    """Return whether an authenticated first packet was received."""
    return quic._state is not quic_connection.QuicConnectionState.FIRSTFLIGHT


def stop_receiving(
    quic: quic_connection.QuicConnection, stream: int, code: int
) -> None:
    """Send STOP_SENDING on a stream, unless its receiving side is finished."""
    stream_state = quic._streams.get(stream)
    if stream_state is not None and not stream_state.receiver.is_finished:
        quic.stop_stream(stream, code)


def active_ids(quic: ServerConnection) -> list[bytes]:
    """Return the IDs that the caller may use to address a connection."""
    return [host_cid.cid for host_cid in quic._host_cids]


def encode_version_negotiation(packet_header: header.PacketHeader) -> bytes:
    """Encode the Version Negotiation packet that answers an unsupported version."""
    return packet.encode_quic_version_negotiation(
        source_cid=packet_header.destination_id,
        destination_cid=packet_header.source_id,
        supported_versions=[packet.QuicProtocolVersion.VERSION_1],
    )
