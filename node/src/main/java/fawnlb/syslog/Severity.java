package fawnlb.syslog;

/** The severities of RFC 5424, section 6.2.1, in the order of their numerical codes. */
public enum Severity {
    EMERGENCY,
    ALERT,
    CRITICAL,
    ERROR,
    WARNING,
    NOTICE,
    INFORMATIONAL,
    DEBUG;

    int code() {
        return ordinal();
    }
}
