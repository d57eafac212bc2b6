//! Unit tests of the crate's private data structures, most of them against simple reference models.

mod customer_table;
mod gossip_queue;
mod random_source;
mod ranked_tree;
mod server_index;
