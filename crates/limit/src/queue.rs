//! Start-time fair queueing between workspaces, inside priority classes.
//!
//! After Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996. The items of a workspace stay in
//! order; between workspaces the smallest start tag goes first. A higher class goes before a lower
//! one. When the queue is full, the last item of the largest backlog in the lowest class is dropped.

use std::collections::{BTreeMap, HashMap, VecDeque};

use base::Name;

/// A queued item.
#[derive(Clone, Debug)]
pub struct Item {
    /// Identifies the item for the caller.
    pub number: u64,
    /// Workspace.
    pub workspace: Name,
    /// Priority class; larger goes first.
    pub class: u8,
    /// Cost, in any unit that all items share.
    pub cost: f64,
    /// Weight of the workspace.
    pub share: f64,
}

#[derive(Debug, Default)]
struct Flow {
    /// Finish tag of the last item.
    finish: f64,
    /// Items with their start tags.
    items: VecDeque<(f64, Item)>,
}

#[derive(Debug, Default)]
struct Class {
    /// Virtual time: the largest start tag of an item that was taken.
    virtual_time: f64,
    flows: HashMap<Name, Flow>,
}

/// A fair queue of bounded length.
#[derive(Debug)]
pub struct Queue {
    max_len: usize,
    len: usize,
    classes: BTreeMap<u8, Class>,
}

impl Queue {
    /// A queue of at most `max_len` items.
    pub fn new(max_len: usize) -> Self {
        Self { max_len, len: 0, classes: BTreeMap::new() }
    }

    /// Number of queued items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of queued items of a workspace.
    pub fn len_of(&self, workspace: &Name) -> usize {
        let flows = self.classes.values().filter_map(|class| class.flows.get(workspace));
        flows.map(|flow| flow.items.len()).sum()
    }

    /// Estimated number of items that go before a new one of this workspace, class and share.
    pub fn queued_before(&self, workspace: &Name, class: u8, share: f64) -> usize {
        let mut count = 0;
        for (found, flows) in &self.classes {
            if *found > class {
                count += flows.flows.values().map(|flow| flow.items.len()).sum::<usize>();
            }
            if *found != class {
                continue;
            }
            let own_len = flows.flows.get(workspace).map_or(0, |flow| flow.items.len());
            count += own_len;
            // While its own items are served, each other workspace is served according to its share.
            for (name, flow) in flows.flows.iter().filter(|(name, _)| *name != workspace) {
                let other = flow.items.front().map_or(0.0, |(_, item)| item.share);
                let turns = ((own_len + 1) as f64 * other / share.max(0.001)).ceil() as usize;
                count += turns.min(flow.items.len());
                debug_assert_ne!(name, workspace);
            }
        }
        count
    }

    /// Adds an item. If the queue is full, returns the number of the item that is dropped, which may be
    /// the new one.
    pub fn push(&mut self, item: Item) -> Option<u64> {
        let dropped = if self.len >= self.max_len { self.shed(&item) } else { None };
        if dropped == Some(item.number) {
            return dropped;
        }
        self.add(item, false);
        dropped
    }

    /// Puts an item back at the head of its workspace, for example after a server rejected it.
    pub fn push_front(&mut self, item: Item) {
        self.add(item, true);
    }

    fn add(&mut self, item: Item, front: bool) {
        let class = self.classes.entry(item.class).or_default();
        let flow = class.flows.entry(item.workspace.clone()).or_default();
        self.len += 1;
        if front {
            let start = flow
                .items
                .front()
                .map_or(class.virtual_time, |(start, _)| start.min(class.virtual_time));
            flow.items.push_front((start, item));
            return;
        }
        let start = flow.finish.max(class.virtual_time);
        flow.finish = start + item.cost / item.share.max(0.001);
        flow.items.push_back((start, item));
    }

    /// The items that may go next: the head of each workspace, in the order of service.
    pub fn heads(&self) -> Vec<u64> {
        let mut numbers = Vec::new();
        for class in self.classes.values().rev() {
            let mut heads: Vec<(f64, u64)> = class
                .flows
                .values()
                .filter_map(|flow| flow.items.front())
                .map(|(start, item)| (*start, item.number))
                .collect();
            heads.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            numbers.extend(heads.into_iter().map(|(_, number)| number));
        }
        numbers
    }

    /// Removes an item that is served now, and advances the virtual time of its class.
    pub fn take(&mut self, number: u64) -> Option<Item> {
        let (start, item) = self.extract(number)?;
        if let Some(class) = self.classes.get_mut(&item.class) {
            class.virtual_time = class.virtual_time.max(start);
        }
        Some(item)
    }

    /// Removes an item that is no longer wanted.
    pub fn remove(&mut self, number: u64) -> Option<Item> {
        self.extract(number).map(|(_, item)| item)
    }

    fn extract(&mut self, number: u64) -> Option<(f64, Item)> {
        for class in self.classes.values_mut() {
            let virtual_time = class.virtual_time;
            for flow in class.flows.values_mut() {
                let index = flow.items.iter().position(|(_, item)| item.number == number);
                let Some(index) = index else { continue };
                let found = flow.items.remove(index);
                self.len -= 1;
                if flow.items.is_empty() && flow.finish <= virtual_time {
                    let idle = |_: &Name, flow: &mut Flow| {
                        !flow.items.is_empty() || flow.finish > virtual_time
                    };
                    class.flows.retain(idle);
                }
                return found;
            }
        }
        None
    }

    /// Drops an item in favour of a new one and returns its number: the last item of the workspace in
    /// the lowest class whose backlog is the largest for its share. Returns the number of the new item
    /// if that is of a lower class, or of the same class and workspace.
    fn shed(&mut self, new: &Item) -> Option<u64> {
        let (class, flows) = self.classes.iter().find_map(|(class, found)| {
            let waits = found.flows.values().any(|flow| !flow.items.is_empty());
            waits.then_some((*class, &found.flows))
        })?;
        if new.class < class {
            return Some(new.number);
        }
        let backlog = |flow: &Flow| {
            flow.items.iter().map(|(_, item)| item.cost / item.share.max(0.001)).sum::<f64>()
        };
        let (name, flow) = flows
            .iter()
            .filter(|(_, flow)| !flow.items.is_empty())
            .max_by(|a, b| backlog(a.1).total_cmp(&backlog(b.1)).then(a.0.cmp(b.0)))?;
        if *name == new.workspace && class == new.class {
            return Some(new.number);
        }
        let last = flow.items.back().map(|(_, item)| item.number)?;
        self.remove(last);
        Some(last)
    }
}
