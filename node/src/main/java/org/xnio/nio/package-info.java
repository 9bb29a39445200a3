/**
 * The one class that needs package-private parts of XNIO: {@link org.xnio.nio.ListeningSocket} accepts sockets on an
 * I/O thread. {@code fawnlb.client.Listener} calls it.
 */
package org.xnio.nio;
