package fawnlb.discovery;

import fawnlb.decision.Balancer.Phase;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When each backend has started, on the node's own clock, which runs on the monotonic one and may have been set wrong
 * by any amount when the node started.
 *
 * <p>Discovery tells starts as times of another clock. They order the starts of one backend; a backend's age is taken
 * from them only as far as nothing refutes it. A start that discovery tells was not there when it last said something,
 * be it an empty line: it lies between that and now. One that would lie in the future, or long before discovery's last
 * word, shows that the clocks differ; then the backend counts as just started, and the difference is remembered for
 * starts that nothing else bounds. Too young is the safe side: such a backend gets less than its part for a moment,
 * while one taken for too old would be overloaded.
 *
 * <p>Times are nanoseconds on the node's clock. All of it belongs to one thread.
 */
public final class StartTimes {
    private static final long MILLISECOND = 1_000_000;
    private static final long NEVER = Long.MIN_VALUE;
    /** What discovery tells may be so old, by the operators' page: a start that seems older is refuted. */
    private static final long MAX_NOTICE = 6_000_000_000L;
    /**
     * Backends that are remembered, those that have left included: one that returns without a restart is as old as it
     * was.
     */
    private static final int MAX_REMEMBERED = 8192;

    private record Start(long upSinceMillis, long at) {}

    private final Map<Long, Start> starts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Start> eldest) {
            return size() > MAX_REMEMBERED;
        }
    };
    private long lastWord = NEVER;
    /** What the clock that backends' starts are told by is ahead of the node's, as far as that is known. */
    private long difference;

    /** Takes a list's starts, before {@link #heard} is called for it. */
    public void update(MemberList list, long now) {
        long latest = list.members().stream()
                .filter(StartTimes::isTold)
                .mapToLong(Member::upSinceMillis)
                .max()
                .orElse(0);
        if (latest * MILLISECOND - difference > now) {
            difference = latest * MILLISECOND - now;
        }
        for (Member member : list.members()) {
            Start known = starts.get(member.number());
            if (isTold(member) && (known == null || known.upSinceMillis() < member.upSinceMillis())) {
                starts.remove(member.number());
                starts.put(
                        member.number(),
                        new Start(member.upSinceMillis(), bounded(member.upSinceMillis() * MILLISECOND, now)));
            }
        }
    }

    private static boolean isTold(Member member) {
        return member.upSinceMillis() > 0 && member.phase() != Phase.GONE;
    }

    private long bounded(long upSince, long now) {
        long at = upSince - difference;
        if (lastWord == NEVER) {
            return at;
        }
        if (at < lastWord - MAX_NOTICE) {
            difference = upSince - now;
            return now;
        }
        return Math.max(at, lastWord);
    }

    /** Discovery has said something: a list that was taken, or that nothing has changed. */
    public void heard(long now) {
        lastWord = now;
    }

    /** When the member started; 0 if long ago. */
    public long startedAt(Member member) {
        Start start = starts.get(member.number());
        return member.upSinceMillis() <= 0 || start == null ? 0 : start.at();
    }
}
