package fawnlb.server;

import fawnlb.client.ClientConnectionTracker;
import fawnlb.client.ConnectionQuota;
import fawnlb.client.RequestIds;
import fawnlb.config.MessagesConfiguration;
import fawnlb.config.ServerConfiguration;
import fawnlb.http.RequestBodyReader;
import fawnlb.messages.BrokerHandler;
import fawnlb.messages.BrokerRequestReader;
import fawnlb.messages.RequestLog;
import fawnlb.platform.BodyPolicy;
import fawnlb.platform.PlatformHandler;
import fawnlb.proxy.RequestProxy;
import fawnlb.syslog.SyslogFormatter;
import fawnlb.syslog.SyslogSender;
import fawnlb.translation.Dialect;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * The listeners of clients with the handlers of their protocols: the platform's, and the messages API where it is
 * offered. It is used on the thread that starts the server; the handlers run on the I/O thread.
 */
final class Fronts {
    private static final String PLATFORM_LISTENER = "platform";
    private static final String MESSAGES_LISTENER = "messages";

    private final ServerConfiguration configuration;
    private final MessagesConfiguration messages;
    private final EventLoop eventLoop;
    private final HttpListeners listeners;
    private final RequestBodyReader bodyReader;
    private final RequestIds requestIds;
    private InetSocketAddress platformAddress;
    private InetSocketAddress messagesAddress;

    /**
     * Creates the fronts, which accept no connections yet.
     *
     * @param messages the messages API's configuration, null if the server does not offer it
     */
    Fronts(
            ServerConfiguration configuration,
            MessagesConfiguration messages,
            EventLoop eventLoop,
            HttpListeners listeners,
            RequestBodyReader bodyReader) {
        this.configuration = configuration;
        this.messages = messages;
        this.eventLoop = eventLoop;
        this.listeners = listeners;
        this.bodyReader = bodyReader;
        this.requestIds = new RequestIds(configuration.settings(), eventLoop.timers());
    }

    /**
     * Opens the listeners.
     *
     * @param connections divides the connections of clients among them
     * @throws IOException if an address cannot be bound
     */
    void open(RequestProxy requestProxy, ReadinessGate readiness, ClientConnectionTracker connections)
            throws IOException {
        PlatformHandler platform = new PlatformHandler(
                requestProxy,
                bodyReader,
                requestIds,
                configuration.settings(),
                messagesApiKinds().isEmpty() ? BodyPolicy.FORWARD_UNREAD : BodyPolicy.TRANSLATE,
                readiness::readiness);
        if (messages == null) {
            ConnectionQuota quota =
                    connections.divideAmongFronts(PLATFORM_LISTENER).get(0);
            platformAddress = listeners.open(configuration.listenAddress(), platform, quota);
            return;
        }
        List<ConnectionQuota> quotas = connections.divideAmongFronts(PLATFORM_LISTENER, MESSAGES_LISTENER);
        platformAddress = listeners.open(configuration.listenAddress(), platform, quotas.get(0));
        messagesAddress = listeners.open(messages.listenAddress(), createBrokerHandler(requestProxy), quotas.get(1));
    }

    private BrokerHandler createBrokerHandler(RequestProxy requestProxy) throws IOException {
        return new BrokerHandler(
                requestProxy,
                bodyReader,
                requestIds,
                new BrokerRequestReader(configuration.settings(), bodyReader, backendDialects()),
                messages.contracts(),
                eventLoop.timers(),
                createRequestLog());
    }

    /** Backends whose kind is not named speak the chat dialect. */
    private Set<Dialect> backendDialects() {
        return messagesApiKinds().isEmpty() ? EnumSet.of(Dialect.CHAT) : EnumSet.allOf(Dialect.class);
    }

    private RequestLog createRequestLog() throws IOException {
        MessagesConfiguration.SyslogConfiguration syslog = messages.syslog();
        if (syslog == null) {
            return RequestLog.disabled();
        }
        SyslogFormatter formatter = new SyslogFormatter(
                syslog.facility(),
                configuration.listenAddress().getHostString(),
                "fawnlb",
                Long.toString(ProcessHandle.current().pid()));
        SyslogSender sender = new SyslogSender(
                eventLoop.thread(),
                eventLoop.timers(),
                eventLoop.newMailbox(),
                syslog.collectorAddress(),
                syslog.isTcp());
        return new RequestLog(formatter, sender);
    }

    private Set<String> messagesApiKinds() {
        return messages == null ? Set.of() : messages.messagesApiKinds();
    }

    /** The address at which the platform's API listens. */
    InetSocketAddress platformAddress() {
        return platformAddress;
    }

    /** The address at which the messages API listens, null if the server does not offer it. */
    InetSocketAddress messagesAddress() {
        return messagesAddress;
    }
}
