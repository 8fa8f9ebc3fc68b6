//! Simulated network: one-way and two-way partitions, connections that stop delivering without
//! being closed, and datagrams that are lost, duplicated, reordered and delayed.

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
use crate::simulation::Input;
use crate::simulation::Node;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;

/// Message or close notification on a connection.
pub enum Frame {
    ToAgent(ToAgent),
    ToEntry(ToEntry),
    Closed,
}

/// One connection from an entry to an agent.
pub struct Connection {
    pub entry: usize,
    pub entry_run: Incarnation,
    pub link: u64,
    pub agent: usize,
    pub agent_run: Incarnation,
    pub is_open_at_entry: bool,
    pub is_open_at_agent: bool,
    /// Frames are no longer delivered, although neither end sees the connection close.
    pub is_stalled: bool,
    /// Arrival time of the last frame, by direction (to the entry, to the agent).
    last_arrival: [Instant; 2],
    /// Frames held back by a partition, by the same directions.
    held_frames: [VecDeque<Frame>; 2],
}

impl Simulation {
    pub fn is_partitioned(&self, from: Node, to: Node) -> bool {
        let until = self.partitions.get(&(from, to));
        until.is_some_and(|until| *until > self.now())
    }

    pub fn latency(&mut self) -> Duration {
        Duration::from_millis(1) + self.random_ms(0, 2)
    }

    /// Opens a connection from an entry; the attempt is dropped during a partition.
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
        if self.is_partitioned(here, there) || self.is_partitioned(there, here) {
            return;
        }
        if !self.agents[agent].is_up() {
            let detail = Some("connection refused".to_owned());
            let event = entry::core::Event::LinkClosed { link, detail };
            self.deliver_after(Duration::from_millis(1), here, run, Input::Entry(event));
            return;
        }
        let now = self.now();
        let index = self.connections.len();
        self.connections.push(Connection {
            entry,
            entry_run: run,
            link,
            agent,
            agent_run: self.agents[agent].incarnation,
            is_open_at_entry: true,
            is_open_at_agent: true,
            is_stalled: false,
            last_arrival: [now; 2],
            held_frames: Default::default(),
        });
        self.connection_of.insert((entry, run, link), index);
        let hello = ToAgent::Hello(Hello {
            process: run,
            to: target.to_owned(),
        });
        self.send_frame(index, Frame::ToAgent(hello), true);
    }

    pub fn send_frame(&mut self, index: usize, frame: Frame, to_agent: bool) {
        let latency = self.latency();
        let now = self.now();
        let conn = &self.connections[index];
        if conn.is_stalled {
            return;
        }
        let direction = usize::from(to_agent);
        let (entry, agent) = (Node::Entry(conn.entry), Node::Agent(conn.agent));
        let is_partitioned = if to_agent {
            self.is_partitioned(entry, agent)
        } else {
            self.is_partitioned(agent, entry)
        };
        let conn = &mut self.connections[index];
        if is_partitioned || !conn.held_frames[direction].is_empty() {
            conn.held_frames[direction].push_back(frame);
            return;
        }
        let at = (now + latency).max(conn.last_arrival[direction] + Duration::from_nanos(1));
        conn.last_arrival[direction] = at;
        self.schedule_at(at, SimEvent::Frame(index, to_agent, Box::new(frame)));
    }

    pub fn deliver_frame(&mut self, index: usize, to_agent: bool, frame: Frame) {
        let conn = &mut self.connections[index];
        let is_open = if to_agent {
            conn.is_open_at_agent
        } else {
            conn.is_open_at_entry
        };
        if conn.is_stalled || !is_open {
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
                conn.is_open_at_agent = false;
                let event = agent::Event::Disconnected { connection };
                self.deliver(agent, agent_run, Input::Agent(event));
            }
            Frame::Closed => {
                conn.is_open_at_entry = false;
                let detail = Some("closed by the agent".to_owned());
                let event = entry::core::Event::LinkClosed { link, detail };
                self.deliver(entry, entry_run, Input::Entry(event));
            }
        }
    }

    /// Closes a connection at one end and notifies the other end.
    pub fn close_connection(&mut self, index: usize, by_entry: bool) {
        let conn = &mut self.connections[index];
        if by_entry {
            conn.is_open_at_entry = false;
        } else {
            conn.is_open_at_agent = false;
        }
        self.send_frame(index, Frame::Closed, by_entry);
    }

    /// Ends all connections of a process. With `silently`, the other ends are not notified.
    pub fn end_connections(&mut self, node: Node, run: Incarnation, silently: bool) {
        for index in 0..self.connections.len() {
            let conn = &mut self.connections[index];
            let (is_entry, is_agent) = match node {
                Node::Entry(at) => (conn.entry == at && conn.entry_run == run, false),
                Node::Agent(at) => (false, conn.agent == at && conn.agent_run == run),
            };
            if !(is_entry && conn.is_open_at_entry || is_agent && conn.is_open_at_agent) {
                continue;
            }
            if silently {
                conn.is_stalled = true;
            }
            self.close_connection(index, is_entry);
        }
    }

    /// Removes expired partitions and sends the frames that they held back.
    pub fn end_expired_partitions(&mut self) {
        let now = self.now();
        self.partitions.retain(|_, until| *until > now);
        for index in 0..self.connections.len() {
            for to_agent in [false, true] {
                let held_frames =
                    std::mem::take(&mut self.connections[index].held_frames[usize::from(to_agent)]);
                for frame in held_frames {
                    self.send_frame(index, frame, to_agent);
                }
            }
        }
    }

    /// Sends a datagram, which may be lost, duplicated or delayed.
    pub fn send_datagram(&mut self, from: Node, to: SocketAddr, datagram: &Datagram) {
        let Some(there) = node_at(to) else {
            return;
        };
        if self.is_partitioned(from, there) {
            return;
        }
        let now = self.now();
        let is_faulty = self.datagram_faults_until.is_some_and(|until| until > now);
        let (lost_permille, duplicated_permille) = if is_faulty { (300, 300) } else { (5, 5) };
        if self.chance(lost_permille) {
            return;
        }
        let copies = if self.chance(duplicated_permille) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let mut delay = self.latency();
            if is_faulty {
                delay += self.random_ms(0, 1_500);
            }
            self.deliver_datagram(delay, from, there, datagram.clone());
        }
    }

    fn deliver_datagram(&mut self, delay: Duration, from: Node, to: Node, datagram: Datagram) {
        match to {
            Node::Entry(at) => {
                let run = self.entries[at].incarnation;
                let event = entry::core::Event::Datagram(datagram);
                self.deliver_after(delay, to, run, Input::Entry(event));
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
                let probed = agent::Event::EntryProbed {
                    entry: process,
                    sequence,
                    head,
                };
                self.deliver_after(delay, to, run, Input::Agent(probed));
                let event = agent::Event::Probe { from, sequence };
                self.deliver_after(delay, to, run, Input::Agent(event));
            }
        }
    }
}
