//! Network addresses as text, `HOST:PORT`.

/// The host of an address; all daemons of one machine share it. An address
/// without a port is a host.
pub fn host_of(address: &str) -> &str {
    address.rsplit_once(':').map_or(address, |(host, _)| host)
}
