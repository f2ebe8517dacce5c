//! HTTP/1.1 servers whose connections share one budget of memory and descriptors.
//!
//! A [`Gate`] admits the connections of all servers on a thread by the rules of `celerywinch_admission`. [`serve`] and
//! [`serve_app`] run a server, whose handlers read bodies and reserve memory by a [`Visit`].

mod body;
mod gate;
mod server;

pub use body::{Body, BodyError};
pub use celerywinch_admission::{
    CloseReason, Limits, LimitsBuilder, Listener, ListenerLimit, Share,
};
pub use gate::{Gate, GateMetrics, Visit};
pub use server::{HttpLimits, bind, serve, serve_app};
