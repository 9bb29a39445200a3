package fawnlb.syslog;

import fawnlb.eventloop.EventLoopOnly;

/** Carries formatted records to a collector; never blocks. */
@EventLoopOnly
interface SyslogTransport {
    /** Sends a record now or later, or drops it. */
    void send(byte[] record);
}
