//! Other entries in the settings of an entry.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::MapAccess;
use serde::de::Visitor;
use serde::de::value::MapAccessDeserializer;

use crate::sections::Fault;
use crate::sections::first_fault;

/// An entry as the others see it, from `"ADDRESS"` or `{"name": "NAME", "address": "ADDRESS"}`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Address for other entries and agents.
    pub address: SocketAddr,
    /// Name, for operators to read.
    pub name: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NamedPeer {
    address: SocketAddr,
    name: String,
}

/// An untagged enum would report neither the field nor the line of a fault.
impl<'de> Deserialize<'de> for Peer {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct AddressOrObject;
        impl<'de> Visitor<'de> for AddressOrObject {
            type Value = Peer;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an address, or an object with `name` and `address`")
            }

            fn visit_str<E: Error>(self, text: &str) -> Result<Peer, E> {
                let address = text.parse().map_err(|_| {
                    E::custom("use an IP address and a port, for example 10.20.2.1:8090")
                })?;
                Ok(Peer {
                    address,
                    name: None,
                })
            }

            fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Peer, A::Error> {
                let named = NamedPeer::deserialize(MapAccessDeserializer::new(map))?;
                Ok(Peer {
                    address: named.address,
                    name: Some(named.name),
                })
            }
        }
        deserializer.deserialize_any(AddressOrObject)
    }
}

/// Checks the names of all entries; `own` is the name and the address of this one.
pub(crate) fn validate_peers(peers: &[Peer], own: (&str, SocketAddr)) -> Result<(), Fault> {
    let is_unique = |index: usize| {
        peers[..index].iter().all(|earlier| {
            earlier.name.is_none()
                || earlier.name != peers[index].name
                || earlier.address == peers[index].address
        })
    };
    let is_own = |peer: &&Peer| peer.address == own.1;
    let named = |peer: &Peer, name: &str| peer.name.as_deref().is_none_or(|given| given == name);
    first_fault(&[
        (
            peers.iter().all(|peer| peer.name.as_deref() != Some("")),
            "peers",
            "name the entry, or state its address only",
        ),
        (
            (0..peers.len()).all(is_unique),
            "peers",
            "give every entry a name of its own",
        ),
        (
            peers.iter().filter(is_own).all(|peer| named(peer, own.0)),
            "peers",
            "use `name` of these settings for the own address",
        ),
        (
            !peers
                .iter()
                .any(|peer| !is_own(&peer) && peer.name.as_deref() == Some(own.0)),
            "peers",
            "another entry has the name of this one; correct its name or address",
        ),
    ])
}
