//! Start-time fair queueing by workspace inside priority classes.
//!
//! After Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996. A workspace's items are in order;
//! between workspaces the one with the smallest start tag goes first. A higher class goes before a
//! lower one, and when the queue is full the lowest class and the largest backlog give way.

use std::collections::{BTreeMap, HashMap, VecDeque};

use base::Name;

/// Something that waits.
#[derive(Clone, Debug)]
pub struct Item {
    /// Number given by the caller of the queue.
    pub number: u64,
    /// Workspace.
    pub workspace: Name,
    /// Priority class, larger first.
    pub class: u8,
    /// Cost in any one unit.
    pub cost: f64,
    /// Weight of the workspace.
    pub share: f64,
}

#[derive(Debug, Default)]
struct Flow {
    finish: f64,
    items: VecDeque<(f64, Item)>,
}

#[derive(Debug, Default)]
struct Class {
    time: f64,
    flows: HashMap<Name, Flow>,
}

/// A fair queue of bounded length.
#[derive(Debug)]
pub struct Queue {
    most: usize,
    len: usize,
    classes: BTreeMap<u8, Class>,
}

impl Queue {
    /// A queue of at most this many items.
    pub fn new(most: usize) -> Self {
        Self { most, len: 0, classes: BTreeMap::new() }
    }

    /// Items that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Items of a workspace that wait.
    pub fn len_of(&self, workspace: &Name) -> usize {
        let flows = self.classes.values().filter_map(|class| class.flows.get(workspace));
        flows.map(|flow| flow.items.len()).sum()
    }

    /// Items that would go before a new one of this workspace, class and share.
    pub fn queued_before(&self, workspace: &Name, class: u8, share: f64) -> usize {
        let mut count = 0;
        for (found, flows) in &self.classes {
            if *found > class {
                count += flows.flows.values().map(|flow| flow.items.len()).sum::<usize>();
            }
            if *found != class {
                continue;
            }
            let own = flows.flows.get(workspace).map_or(0, |flow| flow.items.len());
            count += own;
            // While its own are served, each other workspace is served by its share.
            for (name, flow) in flows.flows.iter().filter(|(name, _)| *name != workspace) {
                let other = flow.items.front().map_or(0.0, |(_, item)| item.share);
                let turns = ((own + 1) as f64 * other / share.max(0.001)).ceil() as usize;
                count += turns.min(flow.items.len());
                debug_assert_ne!(name, workspace);
            }
        }
        count
    }

    /// Adds an item; gives back the number of the one that must go, if the queue is full.
    pub fn push(&mut self, item: Item) -> Option<u64> {
        let out = if self.len >= self.most { self.shed(&item) } else { None };
        if out == Some(item.number) {
            return out;
        }
        self.add(item, false);
        out
    }

    /// Puts an item back at the head of its workspace, as after a refusal by a server.
    pub fn push_front(&mut self, item: Item) {
        self.add(item, true);
    }

    fn add(&mut self, item: Item, front: bool) {
        let class = self.classes.entry(item.class).or_default();
        let flow = class.flows.entry(item.workspace.clone()).or_default();
        self.len += 1;
        if front {
            let start = flow.items.front().map_or(class.time, |(start, _)| start.min(class.time));
            flow.items.push_front((start, item));
            return;
        }
        let start = flow.finish.max(class.time);
        flow.finish = start + item.cost / item.share.max(0.001);
        flow.items.push_back((start, item));
    }

    /// The items that may go next: the head of each workspace, in the order of their turn.
    pub fn heads(&self) -> Vec<u64> {
        let mut out = Vec::new();
        for class in self.classes.values().rev() {
            let mut heads: Vec<(f64, u64)> = class
                .flows
                .values()
                .filter_map(|flow| flow.items.front())
                .map(|(start, item)| (*start, item.number))
                .collect();
            heads.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            out.extend(heads.into_iter().map(|(_, number)| number));
        }
        out
    }

    /// Takes an item out because its turn has come.
    pub fn take(&mut self, number: u64) -> Option<Item> {
        let (start, item) = self.find(number)?;
        if let Some(class) = self.classes.get_mut(&item.class) {
            class.time = class.time.max(start);
        }
        Some(item)
    }

    /// Takes an item out that is no longer wanted.
    pub fn remove(&mut self, number: u64) -> Option<Item> {
        self.find(number).map(|(_, item)| item)
    }

    fn find(&mut self, number: u64) -> Option<(f64, Item)> {
        for class in self.classes.values_mut() {
            let time = class.time;
            for flow in class.flows.values_mut() {
                let place = flow.items.iter().position(|(_, item)| item.number == number);
                let Some(place) = place else { continue };
                let found = flow.items.remove(place);
                self.len -= 1;
                if flow.items.is_empty() && flow.finish <= time {
                    let idle =
                        |_: &Name, flow: &mut Flow| !flow.items.is_empty() || flow.finish > time;
                    class.flows.retain(idle);
                }
                return found;
            }
        }
        None
    }

    /// The number that gives way to a new item: of the lowest class, the workspace with the
    /// largest backlog for its share; the new item itself if it is of a lower class or if its own
    /// workspace is that one.
    fn shed(&mut self, new: &Item) -> Option<u64> {
        let (class, flows) = self.classes.iter().find_map(|(class, found)| {
            let waits = found.flows.values().any(|flow| !flow.items.is_empty());
            waits.then_some((*class, &found.flows))
        })?;
        if new.class < class {
            return Some(new.number);
        }
        let weight = |flow: &Flow| {
            flow.items.iter().map(|(_, item)| item.cost / item.share.max(0.001)).sum::<f64>()
        };
        let (name, flow) = flows
            .iter()
            .filter(|(_, flow)| !flow.items.is_empty())
            .max_by(|a, b| weight(a.1).total_cmp(&weight(b.1)).then(a.0.cmp(b.0)))?;
        if *name == new.workspace && class == new.class {
            return Some(new.number);
        }
        let last = flow.items.back().map(|(_, item)| item.number)?;
        self.remove(last);
        Some(last)
    }
}
