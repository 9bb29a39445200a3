package fawnlb.policy;

import fawnlb.decision.Balancer;
import fawnlb.decision.Balancer.Action;
import fawnlb.decision.Balancer.Costs;
import fawnlb.decision.Balancer.Discovery;
import fawnlb.decision.Balancer.Effect;
import fawnlb.decision.Balancer.Ended;
import fawnlb.decision.Balancer.Group;
import fawnlb.decision.Balancer.Limits;
import fawnlb.decision.Balancer.ListKind;
import fawnlb.decision.Balancer.Listed;
import fawnlb.decision.Balancer.Outcome;
import fawnlb.decision.Balancer.Phase;
import fawnlb.decision.Balancer.Replica;
import fawnlb.decision.Balancer.Reports;
import fawnlb.decision.Balancer.Request;
import fawnlb.decision.Balancer.RequestClass;
import fawnlb.decision.Balancer.Rules;
import fawnlb.decision.Balancer.Send;
import fawnlb.decision.Balancer.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;

/** One module under test with its settings, its clock and what it asked for. */
final class Rig {
    static final long MS = 1_000_000;
    static final long S = 1_000 * MS;

    final List<Action> actions = new ArrayList<>();
    final Choice choice;
    long now = 100 * S;
    private long nextId;

    Rig(Settings settings) {
        choice = new Choice(settings, 7, actions::add);
    }

    static Settings settings(Effect effect, Group group) {
        return settings(effect, group, Discovery.PUSHED, new Costs(0, 0));
    }

    static Settings settings(Effect effect, Group group, Discovery discovery, Costs costs) {
        RequestClass type = new RequestClass(effect, group, 5 * S, S, 0, 4 * S, 0, 1, 0, true);
        return new Settings(
                0,
                1,
                0,
                MS,
                false,
                discovery,
                Reports.NONE,
                List.of(),
                List.of(type),
                List.of(),
                new Limits(4, 1000, true, true, false, false, 2 * S),
                new Rules(S, 10 * S, 0.3, 9 * S, 2.5, S),
                costs);
    }

    /** The settings of one router of so many. */
    static Settings routers(int count, int me) {
        return routers(safe(), count, me);
    }

    /** The same with these figures of the drain and cold-start rules. */
    static Settings routers(int count, int me, Rules rules) {
        Settings one = routers(count, me);
        return new Settings(
                me,
                count,
                one.zone(),
                one.tick(),
                one.resume(),
                one.discovery(),
                one.reports(),
                one.reportFields(),
                one.classes(),
                one.tenants(),
                one.limits(),
                rules,
                one.costs(),
                one.names(),
                one.connections());
    }

    /** The same where the list has to be asked for. */
    static Settings asking(int count, int me) {
        return routers(settings(Effect.SAFE, Group.ALL, Discovery.ASKED, new Costs(0, 0)), count, me);
    }

    private static Settings routers(Settings one, int count, int me) {
        return new Settings(
                me,
                count,
                one.zone(),
                one.tick(),
                one.resume(),
                one.discovery(),
                one.reports(),
                one.reportFields(),
                one.classes(),
                one.tenants(),
                one.limits(),
                one.rules(),
                one.costs(),
                one.names(),
                one.connections());
    }

    static Settings safe() {
        return settings(Effect.SAFE, Group.ALL);
    }

    static Replica replica(long id, Phase phase, long readyAt, int zone) {
        return new Replica(id, phase, readyAt, 1, zone, (int) id, 0);
    }

    Rig list(ListKind kind, Replica... replicas) {
        choice.on(now, new Listed(kind, 1, List.of(replicas)));
        return this;
    }

    Rig ready(int count) {
        return list(
                ListKind.FULL,
                LongStream.rangeClosed(1, count)
                        .mapToObj(id -> replica(id, Phase.READY, 0, (int) (id % 3)))
                        .toArray(Replica[]::new));
    }

    /** A request arrives; its id. */
    long request(long prefix, long session) {
        return request(prefix, session, 0);
    }

    long request(long prefix, long session, int tenant) {
        long id = ++nextId;
        choice.on(now, new Request(id, 0, tenant, session, prefix, 4 * S, 0, 500, 100, 200, false, false, false));
        return id;
    }

    void end(Send send, int attempt, Outcome outcome, boolean over) {
        end(send, attempt, outcome, over, 100 * MS);
    }

    void end(Send send, int attempt, Outcome outcome, boolean over, long took) {
        choice.on(now, new Ended(send.request(), attempt, send.replica(), outcome, over, took, 0, List.of()));
    }

    void started(Send send, int attempt, long took) {
        choice.on(now, new Balancer.Started(send.request(), attempt, send.replica(), took));
    }

    <T extends Action> List<T> all(Class<T> kind) {
        return actions.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    List<Send> sends() {
        return all(Send.class);
    }

    Send last() {
        return sends().get(sends().size() - 1);
    }

    /** Where a lone request of this session goes. */
    long home(long session) {
        request(0, session);
        Send send = last();
        end(send, 0, Outcome.SERVED, true);
        return send.replica();
    }
}
