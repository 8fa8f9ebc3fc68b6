//! Prefix cache of the fake engine: limited memory handed out in pieces.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::HashMap;

/// Order of eviction: least recently used first, and of one prompt the last piece first.
type EvictionKey = (u64, Reverse<usize>, u64);

#[derive(Debug)]
struct Piece {
    users: u32,
    key: EvictionKey,
}

/// Memory of one engine. Every request holds the pieces of its prompt and room for the rest.
#[derive(Debug)]
pub struct PieceCache {
    limit: usize,
    private: usize,
    tick: u64,
    pieces: HashMap<u64, Piece>,
    unused: BTreeSet<EvictionKey>,
}

/// What a request holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Held {
    /// Leading pieces that were found in the cache.
    pub matched: usize,
    /// Pieces that no other request can see yet.
    pub private: usize,
    /// Leading pieces that are pinned.
    pub pinned: usize,
}

impl PieceCache {
    /// Memory of `limit` pieces.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            private: 0,
            tick: 0,
            pieces: HashMap::new(),
            unused: BTreeSet::new(),
        }
    }

    /// Pieces in memory.
    #[must_use]
    pub fn used(&self) -> usize {
        self.pieces.len() + self.private
    }

    /// Share of the memory that requests in service hold.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn pinned_share(&self) -> f64 {
        (self.used() - self.unused.len()) as f64 / self.limit.max(1) as f64
    }

    /// Takes the memory for a request, or nothing if it does not fit beside those in service.
    ///
    /// `rest` is the number of pieces beyond the whole pieces of the prompt. Evicted pieces are
    /// added to `evicted`.
    pub fn admit(&mut self, prefixes: &[u64], rest: usize, evicted: &mut Vec<u64>) -> Option<Held> {
        let matched = prefixes
            .iter()
            .take_while(|prefix| self.pieces.contains_key(prefix))
            .count();
        let private = prefixes.len() - matched + rest;
        self.tick += 1;
        self.pin(&prefixes[..matched]);
        if self.used() - self.unused.len() + private > self.limit {
            self.unpin(&prefixes[..matched]);
            return None;
        }
        while self.used() + private > self.limit {
            let (_, _, oldest) = self.unused.pop_first()?;
            self.pieces.remove(&oldest);
            evicted.push(oldest);
        }
        self.private += private;
        Some(Held {
            matched,
            private,
            pinned: matched,
        })
    }

    /// Lets other requests see the pieces of a processed prompt; new ones are added to `stored`.
    pub fn publish(&mut self, prefixes: &[u64], held: &mut Held, stored: &mut Vec<u64>) {
        self.tick += 1;
        for (depth, prefix) in prefixes.iter().enumerate().skip(held.pinned) {
            self.private -= 1;
            held.private -= 1;
            if self.pieces.contains_key(prefix) {
                self.pin(&prefixes[depth..=depth]);
                continue;
            }
            let piece = Piece {
                users: 1,
                key: (self.tick, Reverse(depth), *prefix),
            };
            self.pieces.insert(*prefix, piece);
            stored.push(*prefix);
        }
        held.pinned = prefixes.len();
    }

    /// Gives back what a request holds. Published pieces stay until they are evicted.
    pub fn release(&mut self, prefixes: &[u64], held: &Held) {
        self.private -= held.private;
        self.unpin(&prefixes[..held.pinned]);
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        *self = Self::new(self.limit);
    }

    fn pin(&mut self, prefixes: &[u64]) {
        for prefix in prefixes {
            if let Some(piece) = self.pieces.get_mut(prefix) {
                if piece.users == 0 {
                    self.unused.remove(&piece.key);
                }
                piece.users += 1;
                piece.key.0 = self.tick;
            }
        }
    }

    fn unpin(&mut self, prefixes: &[u64]) {
        for prefix in prefixes {
            if let Some(piece) = self.pieces.get_mut(prefix) {
                piece.users -= 1;
                if piece.users == 0 {
                    self.unused.insert(piece.key);
                }
            }
        }
    }
}
