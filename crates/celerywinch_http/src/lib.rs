//! HTTP/1.1 servers whose connections share one budget of memory and descriptors.
//!
//! A [`Limiter`] admits the connections of all servers on a thread by the rules of `celerywinch_admission`. [`serve`] and
//! [`serve_app`] run a server, whose handlers read bodies and reserve memory by a [`RequestHandle`].

mod body;
mod limiter;
mod server;

pub use body::{Body, BodyError};
pub use celerywinch_admission::{
    CloseReason, Limits, LimitsBuilder, Listener, ListenerLimit, Share,
};
pub use limiter::{Limiter, LimiterMetrics, RequestHandle};
pub use server::{HttpLimits, bind, serve, serve_app};
