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

/** The second front's file. {@code messageKinds}: the kinds of backend that speak the messages dialect. */
public record BrokerConfig(InetSocketAddress listen, Set<String> messageKinds, Contracts contracts, Syslog syslog) {
    private static final long MS = 1_000_000;
    private static final long DAY_MS = 86_400_000;

    /** Where flow records go; null in the configuration if nowhere. */
    public record Syslog(InetSocketAddress collector, boolean tcp, int facility) {}

    public static BrokerConfig read(Path file) throws NodeConfig.Bad {
        OperatorFile in = new OperatorFile(file);
        List<Contract> teams = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        for (int i = 0; i < in.number("teams.count", 0, 0, 10_000); i++) {
            Contract team = team(in, "teams." + i + '.');
            if (!keys.add(team.key())) {
                throw in.bad("teams." + i + ".key", "another team has the same key");
            }
            teams.add(team);
        }
        if (teams.isEmpty()) {
            throw in.bad("teams", "names no team");
        }
        return new BrokerConfig(
                NodeConfig.address("listen", in.value("listen")),
                Set.copyOf(in.list("message-kinds")),
                new Contracts(List.copyOf(teams)),
                syslog(in));
    }

    private static Contract team(OperatorFile in, String at) throws NodeConfig.Bad {
        Budget budget = new Budget(
                in.number(at + "budget.requests", -1, 0, Integer.MAX_VALUE),
                in.number(at + "budget.tokens", -1, 0, Long.MAX_VALUE),
                in.number(at + "budget.window-ms", -1, 0, DAY_MS) * MS);
        String tenant = in.value(at + "tenant");
        in.text(at + "classes");
        in.text(at + "models");
        return new Contract(
                in.text(at + "name"),
                in.text(at + "key"),
                tenant == null ? "" : tenant,
                in.list(at + "classes"),
                in.list(at + "models"),
                in.number(at + "deadline-ms", -1, 0, DAY_MS) * MS,
                budget);
    }

    private static Syslog syslog(OperatorFile in) throws NodeConfig.Bad {
        String collector = in.value("syslog.collector");
        if (collector == null) {
            return null;
        }
        String transport = in.value("syslog.transport");
        if (transport != null && !transport.equals("udp") && !transport.equals("tcp")) {
            throw in.bad("syslog.transport", "expected udp or tcp, found '" + transport + "'");
        }
        return new Syslog(NodeConfig.address("syslog.collector", collector), "tcp".equals(transport), (int)
                in.number("syslog.facility", 16, 0, 23));
    }
}
