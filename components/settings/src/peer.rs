//! List of the other entries in the settings of an entry.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::MapAccess;
use serde::de::Visitor;
use serde::de::value::MapAccessDeserializer;

use crate::sections::FieldError;
use crate::sections::first_failed_check;

/// Entry in the list of peers, written as `"ADDRESS"` or `{"name": "NAME", "address": "ADDRESS"}`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Address on which the entry listens for other entries and agents.
    pub address: SocketAddr,
    /// Name that is shown to operators.
    pub name: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NamedPeer {
    address: SocketAddr,
    name: String,
}

/// Written by hand, because errors of an untagged enum state neither the field nor the line.
impl<'de> Deserialize<'de> for Peer {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct PeerVisitor;
        impl<'de> Visitor<'de> for PeerVisitor {
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
        deserializer.deserialize_any(PeerVisitor)
    }
}

/// Checks the names in the list of peers; `own` is the name and the address of this entry.
pub(crate) fn validate_peers(peers: &[Peer], own: (&str, SocketAddr)) -> Result<(), FieldError> {
    let has_unique_name = |index: usize| {
        peers[..index].iter().all(|earlier| {
            earlier.name.is_none()
                || earlier.name != peers[index].name
                || earlier.address == peers[index].address
        })
    };
    let is_own = |peer: &&Peer| peer.address == own.1;
    let is_unnamed_or =
        |peer: &Peer, name: &str| peer.name.as_deref().is_none_or(|given| given == name);
    first_failed_check(&[
        (
            peers.iter().all(|peer| peer.name.as_deref() != Some("")),
            "peers",
            "names must not be empty; use a name, or only the address",
        ),
        (
            (0..peers.len()).all(has_unique_name),
            "peers",
            "give each entry a different name",
        ),
        (
            peers
                .iter()
                .filter(is_own)
                .all(|peer| is_unnamed_or(peer, own.0)),
            "peers",
            "for the address of this entry, use the same name as in the field `name`",
        ),
        (
            !peers
                .iter()
                .any(|peer| !is_own(&peer) && peer.name.as_deref() == Some(own.0)),
            "peers",
            "another address has the name of this entry; correct the name or the address",
        ),
    ])
}
