package fawnlb.syslog;

/** Carries formatted records to a collector. Called on one I/O thread; never blocks. */
interface SyslogTransport {
    /** Sends a record now or later, or drops it. */
    void send(byte[] record);
}
