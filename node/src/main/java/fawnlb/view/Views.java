package fawnlb.view;

import fawnlb.decision.Balancer;
import java.util.Arrays;
import java.util.List;

/**
 * A decision module behind a chain of views: to its host it is the module. Lists pass through every view in turn; other
 * events are shown to each view first, so that a retry is decided by what its failure has taught.
 */
public final class Views implements Balancer {
    private final List<View> views;
    private final Sink sink;
    private final Balancer module;
    private final long[] armed;

    /** Timers of the views have tokens below 0, which no module uses: -1 is the first view's. */
    public Views(List<View> views, Maker maker, Settings settings, long seed, Sink sink) {
        this.views = List.copyOf(views);
        this.sink = sink;
        this.module = maker.make(settings, seed, sink);
        this.armed = new long[views.size()];
        Arrays.fill(armed, View.NEVER);
    }

    @Override
    public void on(long now, Event event) {
        if (event instanceof TimerDue due && due.token() < 0) {
            int which = -1 - due.token();
            armed[which] = View.NEVER;
            if (views.get(which).wakeAt() <= now) {
                show(now, which + 1, views.get(which).woken(now));
            }
        } else if (event instanceof Listed news) {
            show(now, 0, news);
        } else {
            for (int i = 0; i < views.size(); i++) {
                show(now, i + 1, views.get(i).seen(now, event));
            }
            module.on(now, event);
        }
        arm(now);
    }

    private void show(long now, int from, Listed news) {
        Listed shown = news;
        for (int i = from; i < views.size() && shown != null; i++) {
            shown = views.get(i).listed(now, shown);
        }
        if (shown != null) {
            module.on(now, shown);
        }
    }

    /** A timer that comes too early finds nothing to do; one is set anew only where a view wants an earlier one. */
    private void arm(long now) {
        for (int i = 0; i < armed.length; i++) {
            long at = views.get(i).wakeAt();
            if (at < armed[i]) {
                armed[i] = Math.max(at, now);
                sink.act(new Timer(armed[i], -1 - i));
            }
        }
    }
}
