//! A slot map with typed handles and an index by id.

use std::collections::HashMap;
use std::sync::Arc;

use slotmap::{Key, SlotMap};

/// Table of rows that are addressed by handle or by id.
#[derive(Clone, Debug)]
pub struct Table<H: Key, V> {
    rows: SlotMap<H, V>,
    handles: HashMap<Arc<str>, H>,
}

impl<H: Key, V> Default for Table<H, V> {
    fn default() -> Table<H, V> {
        Table { rows: SlotMap::with_key(), handles: HashMap::new() }
    }
}

impl<H: Key, V> Table<H, V> {
    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the handle of the row with an id.
    pub fn find(&self, id: &str) -> Option<H> {
        self.handles.get(id).copied()
    }

    /// Returns the row with a handle, or `None` if it was removed.
    pub fn get(&self, handle: H) -> Option<&V> {
        self.rows.get(handle)
    }

    /// Returns the row with a handle, mutably.
    pub fn get_mut(&mut self, handle: H) -> Option<&mut V> {
        self.rows.get_mut(handle)
    }

    /// Returns the row with an id.
    pub fn by_id(&self, id: &str) -> Option<&V> {
        self.find(id).and_then(|handle| self.rows.get(handle))
    }

    /// Returns the row with an id, mutably.
    pub fn by_id_mut(&mut self, id: &str) -> Option<&mut V> {
        let handle = self.find(id)?;
        self.rows.get_mut(handle)
    }

    /// Inserts or replaces the row with an id and returns its handle; a replaced row keeps its handle.
    pub fn set(&mut self, id: &Arc<str>, row: V) -> H {
        match self.find(id) {
            Some(handle) => {
                self.rows[handle] = row;
                handle
            }
            None => self.insert(id, row),
        }
    }

    /// Returns the row with an id; if there is none, inserts the result of `create` first.
    pub fn get_or_insert(&mut self, id: &Arc<str>, create: impl FnOnce() -> V) -> (H, &mut V) {
        let handle = self.find(id).unwrap_or_else(|| self.insert(id, create()));
        (handle, &mut self.rows[handle])
    }

    fn insert(&mut self, id: &Arc<str>, row: V) -> H {
        let handle = self.rows.insert(row);
        self.handles.insert(id.clone(), handle);
        handle
    }

    /// Removes and returns the row with an id.
    pub fn remove(&mut self, id: &str) -> Option<V> {
        let handle = self.handles.remove(id)?;
        self.rows.remove(handle)
    }

    /// Removes the rows for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&str, &mut V) -> bool) {
        let rows = &mut self.rows;
        self.handles.retain(|id, handle| {
            let kept = rows.get_mut(*handle).is_some_and(|row| keep(id, row));
            if !kept {
                rows.remove(*handle);
            }
            kept
        });
    }

    /// Iterates over the ids and rows, in unspecified order.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &V)> {
        self.handles.iter().filter_map(|(id, handle)| Some((id, self.rows.get(*handle)?)))
    }

    /// Iterates over the rows mutably, in unspecified order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.rows.values_mut()
    }
}
