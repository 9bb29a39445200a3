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

/**
 * The configuration of the messages API, which teams use under contracts.
 *
 * @param messagesApiKinds the kinds of endpoints that offer the messages API themselves
 * @param syslog where records of requests are sent, null if nowhere
 */
public record MessagesConfiguration(
        InetSocketAddress listenAddress,
        Set<String> messagesApiKinds,
        Contracts contracts,
        SyslogConfiguration syslog) {
    private static final long MILLIS_PER_DAY = 86_400_000;
    private static final int MAX_TEAMS = 10_000;
    /** The facility "local use 0" of RFC 5424. */
    private static final int DEFAULT_SYSLOG_FACILITY = 16;

    private static final int MAX_SYSLOG_FACILITY = 23;

    /** The syslog collector that receives records of requests, over TCP or else over UDP. */
    public record SyslogConfiguration(InetSocketAddress collectorAddress, boolean isTcp, int facility) {}

    /**
     * Reads the file.
     *
     * @throws ConfigurationException if the file cannot be read, or a setting is missing or invalid
     */
    public static MessagesConfiguration read(Path file) throws ConfigurationException {
        ConfigurationFile settings = ConfigurationFile.read(file);
        List<Contract> teams = readTeams(settings);
        return new MessagesConfiguration(
                AddressParser.parse("listen", settings.optionalText("listen")),
                Set.copyOf(settings.readList("message-kinds")),
                new Contracts(teams),
                readSyslog(settings));
    }

    private static List<Contract> readTeams(ConfigurationFile settings) throws ConfigurationException {
        List<Contract> teams = new ArrayList<>();
        Set<String> seenKeys = new HashSet<>();
        long count = settings.optionalNumber("teams.count", 0, 0, MAX_TEAMS);
        for (int i = 0; i < count; i++) {
            Contract team = readTeam(settings, "teams." + i + '.');
            if (!seenKeys.add(team.key())) {
                throw settings.invalid("teams." + i + ".key", "another team has the same key");
            }
            teams.add(team);
        }
        if (teams.isEmpty()) {
            throw settings.invalid("teams", "names no team");
        }
        return List.copyOf(teams);
    }

    private static Contract readTeam(ConfigurationFile settings, String prefix) throws ConfigurationException {
        Budget budget = new Budget(
                settings.requiredNumber(prefix + "budget.requests", 0, Integer.MAX_VALUE),
                settings.requiredNumber(prefix + "budget.tokens", 0, Long.MAX_VALUE),
                settings.requiredMillisAsNanos(prefix + "budget.window-ms", 0, MILLIS_PER_DAY));
        String tenant = settings.optionalText(prefix + "tenant");
        settings.requiredText(prefix + "classes");
        settings.requiredText(prefix + "models");
        return new Contract(
                settings.requiredText(prefix + "name"),
                settings.requiredText(prefix + "key"),
                tenant == null ? "" : tenant,
                settings.readList(prefix + "classes"),
                settings.readList(prefix + "models"),
                settings.requiredMillisAsNanos(prefix + "deadline-ms", 0, MILLIS_PER_DAY),
                budget);
    }

    private static SyslogConfiguration readSyslog(ConfigurationFile settings) throws ConfigurationException {
        String collector = settings.optionalText("syslog.collector");
        if (collector == null) {
            return null;
        }
        String transport = settings.optionalText("syslog.transport");
        if (transport != null && !transport.equals("udp") && !transport.equals("tcp")) {
            throw settings.invalid("syslog.transport", "expected udp or tcp, found '" + transport + "'");
        }
        InetSocketAddress collectorAddress = AddressParser.parse("syslog.collector", collector);
        long facility = settings.optionalNumber("syslog.facility", DEFAULT_SYSLOG_FACILITY, 0, MAX_SYSLOG_FACILITY);
        return new SyslogConfiguration(collectorAddress, "tcp".equals(transport), (int) facility);
    }
}
