//! Prefix cache of the fake engine: a limited number of pieces, evicted least recently used first.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::HashMap;

/// Eviction order: least recently used first, and within a prompt the last piece first.
///
/// Holds the use number, the position of the piece in its prompt, and the prefix hash.
type EvictionKey = (u64, Reverse<usize>, u64);

#[derive(Debug)]
struct Piece {
    pins: u32,
    eviction_key: EvictionKey,
}

/// Cache memory of one engine. A running request pins the pieces of its prompt and reserves memory
/// for the rest of the prompt and for the output.
#[derive(Debug)]
pub struct PieceCache {
    capacity: usize,
    reserved_pieces: usize,
    last_use: u64,
    pieces: HashMap<u64, Piece>,
    unpinned: BTreeSet<EvictionKey>,
}

/// Cache memory of a running request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Allocation {
    /// Leading pieces of the prompt that were cached when the request started.
    pub matched_pieces: usize,
    /// Pieces reserved for this request, which other requests cannot share.
    pub reserved_pieces: usize,
    /// Leading pieces of the prompt that this request keeps from eviction.
    pub pinned_pieces: usize,
}

impl PieceCache {
    /// An empty cache with memory for `capacity` pieces.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            reserved_pieces: 0,
            last_use: 0,
            pieces: HashMap::new(),
            unpinned: BTreeSet::new(),
        }
    }

    /// Pieces stored or reserved.
    #[must_use]
    pub fn used(&self) -> usize {
        self.pieces.len() + self.reserved_pieces
    }

    /// Share of the memory that running requests pin or reserve, from 0 to 1.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn pinned_share(&self) -> f64 {
        (self.used() - self.unpinned.len()) as f64 / self.capacity.max(1) as f64
    }

    /// Allocates memory for a request; `None` if it does not fit beside the running requests.
    ///
    /// `other_pieces` is the number of pieces beyond the whole pieces of the prompt. Evicted pieces
    /// are added to `evicted`.
    pub fn admit(
        &mut self,
        prefixes: &[u64],
        other_pieces: usize,
        evicted: &mut Vec<u64>,
    ) -> Option<Allocation> {
        let matched_pieces = prefixes
            .iter()
            .take_while(|prefix| self.pieces.contains_key(prefix))
            .count();
        let reserved_pieces = prefixes.len() - matched_pieces + other_pieces;
        self.last_use += 1;
        self.pin(&prefixes[..matched_pieces]);
        if self.used() - self.unpinned.len() + reserved_pieces > self.capacity {
            self.unpin(&prefixes[..matched_pieces]);
            return None;
        }
        while self.used() + reserved_pieces > self.capacity {
            let (_, _, oldest) = self.unpinned.pop_first()?;
            self.pieces.remove(&oldest);
            evicted.push(oldest);
        }
        self.reserved_pieces += reserved_pieces;
        Some(Allocation {
            matched_pieces,
            reserved_pieces,
            pinned_pieces: matched_pieces,
        })
    }

    /// Makes the pieces of a processed prompt shareable; newly stored ones are added to `stored`.
    pub fn publish(
        &mut self,
        prefixes: &[u64],
        allocation: &mut Allocation,
        stored: &mut Vec<u64>,
    ) {
        self.last_use += 1;
        for (position, prefix) in prefixes.iter().enumerate().skip(allocation.pinned_pieces) {
            self.reserved_pieces -= 1;
            allocation.reserved_pieces -= 1;
            if self.pieces.contains_key(prefix) {
                self.pin(&prefixes[position..=position]);
                continue;
            }
            let piece = Piece {
                pins: 1,
                eviction_key: (self.last_use, Reverse(position), *prefix),
            };
            self.pieces.insert(*prefix, piece);
            stored.push(*prefix);
        }
        allocation.pinned_pieces = prefixes.len();
    }

    /// Frees the memory of a request. Published pieces stay until they are evicted.
    pub fn release(&mut self, prefixes: &[u64], allocation: &Allocation) {
        self.reserved_pieces -= allocation.reserved_pieces;
        self.unpin(&prefixes[..allocation.pinned_pieces]);
    }

    /// Removes all pieces and reservations.
    pub fn clear(&mut self) {
        *self = Self::new(self.capacity);
    }

    fn pin(&mut self, prefixes: &[u64]) {
        for prefix in prefixes {
            if let Some(piece) = self.pieces.get_mut(prefix) {
                if piece.pins == 0 {
                    self.unpinned.remove(&piece.eviction_key);
                }
                piece.pins += 1;
                piece.eviction_key.0 = self.last_use;
            }
        }
    }

    fn unpin(&mut self, prefixes: &[u64]) {
        for prefix in prefixes {
            if let Some(piece) = self.pieces.get_mut(prefix) {
                piece.pins -= 1;
                if piece.pins == 0 {
                    self.unpinned.insert(piece.eviction_key);
                }
            }
        }
    }
}
