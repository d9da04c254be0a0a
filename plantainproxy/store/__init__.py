"""Access to the platform's key-value store: interfaces and the etcd client."""
