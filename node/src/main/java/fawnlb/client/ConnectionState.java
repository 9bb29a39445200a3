package fawnlb.client;

/** What a client connection is doing. */
enum ConnectionState {
    /** No byte of a next request has been read. */
    IDLE,
    /** A part of a request's head has been read. */
    READING_HEAD,
    /** A request has been read and its response is not complete. */
    SERVING,
    /** The last response has been sent. What the client still sends is read and discarded. */
    CLOSING
}
