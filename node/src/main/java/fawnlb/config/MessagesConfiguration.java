package fawnlb.config;

import fawnlb.contract.Budget;
import fawnlb.contract.Contract;
import fawnlb.contract.Contracts;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The second front's file. {@code messagesApiKinds}: the kinds of backend that speak the messages dialect. */
public record MessagesConfiguration(
        InetSocketAddress listenAddress,
        Set<String> messagesApiKinds,
        Contracts contracts,
        SyslogConfiguration syslog) {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MILLIS_PER_DAY = 86_400_000;

    /** Where flow records go; null in the configuration if nowhere. */
    public record SyslogConfiguration(InetSocketAddress collectorAddress, boolean isTcp, int facility) {}

    public static MessagesConfiguration read(Path file) throws ServerConfiguration.ConfigurationException {
        ConfigurationFile settings = new ConfigurationFile(file);
        List<Contract> teams = new ArrayList<>();
        Set<String> seenKeys = new HashSet<>();
        for (int i = 0; i < settings.readNumber("teams.count", 0, 0, 10_000); i++) {
            Contract team = readTeam(settings, "teams." + i + '.');
            if (!seenKeys.add(team.key())) {
                throw settings.invalid("teams." + i + ".key", "another team has the same key");
            }
            teams.add(team);
        }
        if (teams.isEmpty()) {
            throw settings.invalid("teams", "names no team");
        }
        return new MessagesConfiguration(
                ServerConfiguration.parseAddress("listen", settings.optionalText("listen")),
                Set.copyOf(settings.readList("message-kinds")),
                new Contracts(List.copyOf(teams)),
                syslog(settings));
    }

    private static Contract readTeam(ConfigurationFile settings, String prefix)
            throws ServerConfiguration.ConfigurationException {
        Budget budget = new Budget(
                settings.readNumber(prefix + "budget.requests", -1, 0, Integer.MAX_VALUE),
                settings.readNumber(prefix + "budget.tokens", -1, 0, Long.MAX_VALUE),
                settings.readNumber(prefix + "budget.window-ms", -1, 0, MILLIS_PER_DAY) * NANOS_PER_MILLI);
        String tenant = settings.optionalText(prefix + "tenant");
        settings.requiredText(prefix + "classes");
        settings.requiredText(prefix + "models");
        return new Contract(
                settings.requiredText(prefix + "name"),
                settings.requiredText(prefix + "key"),
                tenant == null ? "" : tenant,
                settings.readList(prefix + "classes"),
                settings.readList(prefix + "models"),
                settings.readNumber(prefix + "deadline-ms", -1, 0, MILLIS_PER_DAY) * NANOS_PER_MILLI,
                budget);
    }

    private static SyslogConfiguration syslog(ConfigurationFile settings)
            throws ServerConfiguration.ConfigurationException {
        String collector = settings.optionalText("syslog.collector");
        if (collector == null) {
            return null;
        }
        String transport = settings.optionalText("syslog.transport");
        if (transport != null && !transport.equals("udp") && !transport.equals("tcp")) {
            throw settings.invalid("syslog.transport", "expected udp or tcp, found '" + transport + "'");
        }
        return new SyslogConfiguration(
                ServerConfiguration.parseAddress("syslog.collector", collector), "tcp".equals(transport), (int)
                        settings.readNumber("syslog.facility", 16, 0, 23));
    }
}
