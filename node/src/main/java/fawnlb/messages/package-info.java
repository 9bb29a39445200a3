/**
 * The broker: the listener for teams' services, which speak either dialect and have contracts and budgets.
 *
 * <p>{@code fawnlb.server} creates the {@link fawnlb.messages.BrokerHandler}. The handler authenticates a request by
 * its key, checks it against the team's contract, reserves its budget and submits it to {@code fawnlb.proxy}, like the
 * handler of {@code fawnlb.platform} does. Each request leaves one record at the syslog collector, if there is one.
 * Everything here runs on the I/O thread of the request's connection.
 */
package fawnlb.messages;
