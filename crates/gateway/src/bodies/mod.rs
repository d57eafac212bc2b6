//! Bodies of requests and responses. Short bodies are buffered. Longer ones are streamed: they are forwarded
//! as they arrive, no faster than the receiver reads. The total memory for streaming is limited.

pub mod block_buffer;
pub mod buffering;
pub mod download;
pub mod error;
pub mod late_answer;
pub mod memory;
mod prefix_buffer;
pub mod replay_buffer;
pub mod request_body;
pub mod size;
pub mod stall;
pub mod upload;
