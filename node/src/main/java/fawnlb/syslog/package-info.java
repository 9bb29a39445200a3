/**
 * Records for a syslog collector: their format (RFC 5424) and their transport over UDP or TCP.
 *
 * <p>{@code fawnlb.messages} writes one record for each request. A {@link fawnlb.syslog.SyslogSender} works on one I/O
 * thread and never blocks its callers: records that the collector does not take are dropped and counted.
 */
package fawnlb.syslog;
