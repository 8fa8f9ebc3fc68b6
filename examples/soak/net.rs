//! Connections and datagrams, with cuts in one direction or both, connections that go silent
//! for good, and datagrams that are lost, repeated, reordered and delayed.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use types::Incarnation;
use wire::Datagram;
use wire::Hello;
use wire::ToAgent;
use wire::ToEntry;

use crate::setup::entry_address;
use crate::setup::node_at;
use crate::world::Happening;
use crate::world::Input;
use crate::world::Node;
use crate::world::World;

/// What travels on a connection.
pub enum Frame {
    ToAgent(ToAgent),
    ToEntry(ToEntry),
    Closed,
}

/// One connection from an entry to an agent.
pub struct Conn {
    pub entry: usize,
    pub entry_run: Incarnation,
    pub link: u64,
    pub agent: usize,
    pub agent_run: Incarnation,
    pub open_entry: bool,
    pub open_agent: bool,
    /// Nothing arrives any more, and nobody is told.
    pub silent: bool,
    /// When the last frame arrives, by direction (to the entry, to the agent).
    last: [Instant; 2],
    held: [VecDeque<Frame>; 2],
}

impl World {
    pub fn is_cut(&self, from: Node, to: Node) -> bool {
        let until = self.cuts.get(&(from, to));
        until.is_some_and(|until| *until > self.now())
    }

    pub fn latency(&mut self) -> Duration {
        Duration::from_millis(1) + self.millis(0, 2)
    }

    /// An entry opens a connection.
    pub fn connect(
        &mut self,
        entry: usize,
        run: Incarnation,
        link: u64,
        target: &str,
        address: SocketAddr,
    ) {
        if !self.entries[entry].is_run(run) {
            return;
        }
        let Some(Node::Agent(agent)) = node_at(address) else {
            return;
        };
        let (here, there) = (Node::Entry(entry), Node::Agent(agent));
        if self.is_cut(here, there) || self.is_cut(there, here) {
            return;
        }
        if !self.agents[agent].is_up() {
            let detail = Some("connection refused".to_owned());
            let event = entry::core::Event::LinkClosed { link, detail };
            self.later(Duration::from_millis(1), here, run, Input::Entry(event));
            return;
        }
        let now = self.now();
        let index = self.conns.len();
        self.conns.push(Conn {
            entry,
            entry_run: run,
            link,
            agent,
            agent_run: self.agents[agent].incarnation,
            open_entry: true,
            open_agent: true,
            silent: false,
            last: [now; 2],
            held: Default::default(),
        });
        self.conn_of.insert((entry, run, link), index);
        let hello = ToAgent::Hello(Hello {
            process: run,
            to: target.to_owned(),
        });
        self.send_frame(index, Frame::ToAgent(hello), true);
    }

    pub fn send_frame(&mut self, index: usize, frame: Frame, to_agent: bool) {
        let latency = self.latency();
        let now = self.now();
        let conn = &self.conns[index];
        if conn.silent {
            return;
        }
        let direction = usize::from(to_agent);
        let (entry, agent) = (Node::Entry(conn.entry), Node::Agent(conn.agent));
        let is_cut = if to_agent {
            self.is_cut(entry, agent)
        } else {
            self.is_cut(agent, entry)
        };
        let conn = &mut self.conns[index];
        if is_cut || !conn.held[direction].is_empty() {
            conn.held[direction].push_back(frame);
            return;
        }
        let at = (now + latency).max(conn.last[direction] + Duration::from_nanos(1));
        conn.last[direction] = at;
        self.at(at, Happening::Frame(index, to_agent, Box::new(frame)));
    }

    pub fn frame_arrives(&mut self, index: usize, to_agent: bool, frame: Frame) {
        let conn = &mut self.conns[index];
        let is_open = if to_agent {
            conn.open_agent
        } else {
            conn.open_entry
        };
        if conn.silent || !is_open {
            return;
        }
        let connection = index as u64;
        let (agent, agent_run) = (Node::Agent(conn.agent), conn.agent_run);
        let (entry, entry_run, link) = (Node::Entry(conn.entry), conn.entry_run, conn.link);
        match frame {
            Frame::ToAgent(message) => {
                let event = agent::Event::Message {
                    connection,
                    message,
                };
                self.deliver(agent, agent_run, Input::Agent(event));
            }
            Frame::ToEntry(message) => {
                let event = entry::core::Event::LinkMessage { link, message };
                self.deliver(entry, entry_run, Input::Entry(event));
            }
            Frame::Closed if to_agent => {
                conn.open_agent = false;
                let event = agent::Event::Disconnected { connection };
                self.deliver(agent, agent_run, Input::Agent(event));
            }
            Frame::Closed => {
                conn.open_entry = false;
                let detail = Some("closed by the agent".to_owned());
                let event = entry::core::Event::LinkClosed { link, detail };
                self.deliver(entry, entry_run, Input::Entry(event));
            }
        }
    }

    /// One end closes a connection; the other end is told.
    pub fn close_conn(&mut self, index: usize, by_entry: bool) {
        let conn = &mut self.conns[index];
        if by_entry {
            conn.open_entry = false;
        } else {
            conn.open_agent = false;
        }
        self.send_frame(index, Frame::Closed, by_entry);
    }

    /// Ends all connections of a process. With `silently`, the other end is not told.
    pub fn end_conns(&mut self, node: Node, run: Incarnation, silently: bool) {
        for index in 0..self.conns.len() {
            let conn = &mut self.conns[index];
            let (is_entry, is_agent) = match node {
                Node::Entry(at) => (conn.entry == at && conn.entry_run == run, false),
                Node::Agent(at) => (false, conn.agent == at && conn.agent_run == run),
            };
            if !(is_entry && conn.open_entry || is_agent && conn.open_agent) {
                continue;
            }
            if silently {
                conn.silent = true;
            }
            self.close_conn(index, is_entry);
        }
    }

    /// Delivers what was held back by cuts that have ended.
    pub fn flush_cuts(&mut self) {
        let now = self.now();
        self.cuts.retain(|_, until| *until > now);
        for index in 0..self.conns.len() {
            for to_agent in [false, true] {
                let held = std::mem::take(&mut self.conns[index].held[usize::from(to_agent)]);
                for frame in held {
                    self.send_frame(index, frame, to_agent);
                }
            }
        }
    }

    /// Sends a datagram, which may be lost, repeated and delayed.
    pub fn datagram(&mut self, from: Node, to: SocketAddr, datagram: &Datagram) {
        let Some(there) = node_at(to) else {
            return;
        };
        if self.is_cut(from, there) {
            return;
        }
        let now = self.now();
        let storm = self.storm_until.is_some_and(|until| until > now);
        let (lost, repeated) = if storm { (300, 300) } else { (5, 5) };
        if self.chance(lost) {
            return;
        }
        let copies = if self.chance(repeated) { 2 } else { 1 };
        for _ in 0..copies {
            let mut delay = self.latency();
            if storm {
                delay += self.millis(0, 1_500);
            }
            self.datagram_arrives(delay, from, there, datagram.clone());
        }
    }

    fn datagram_arrives(&mut self, delay: Duration, from: Node, to: Node, datagram: Datagram) {
        match to {
            Node::Entry(at) => {
                let run = self.entries[at].incarnation;
                let event = entry::core::Event::Datagram(datagram);
                self.later(delay, to, run, Input::Entry(event));
            }
            Node::Agent(at) => {
                let (
                    Datagram::Probe {
                        entry: process,
                        sequence,
                        head,
                    },
                    Node::Entry(entry),
                ) = (datagram, from)
                else {
                    return;
                };
                let run = self.agents[at].incarnation;
                let from = entry_address(entry);
                let watched = agent::Event::Watched {
                    entry: process,
                    sequence,
                    head,
                };
                self.later(delay, to, run, Input::Agent(watched));
                let event = agent::Event::Probe { from, sequence };
                self.later(delay, to, run, Input::Agent(event));
            }
        }
    }
}
