package fawnlb.server;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import fawnlb.memory.MemoryBudget;
import fawnlb.memory.MemoryObserver;
import fawnlb.memory.MemoryPlan;
import fawnlb.memory.MemoryUse;
import fawnlb.metrics.LogLine;
import fawnlb.metrics.Metric;
import fawnlb.metrics.Metrics;
import java.util.logging.Logger;

/** Counts what has no room in the memory budget, logs it at a limited rate, and publishes what is reserved. */
@EventLoopOnly
final class MemoryMonitor implements MemoryObserver {
    private static final Logger LOG = Logger.getLogger(MemoryMonitor.class.getName());
    private static final long LOG_INTERVAL_NANOS = 1_000_000_000;
    private static final long BYTES_PER_MEGABYTE = 1 << 20;
    /** What the process may take beside the heap, with the options of the deploy file; the capacity page adds it up. */
    private static final long OUTSIDE_HEAP_MEGABYTES = 112;

    private final Timers timers;
    private long loggedAtNanos;
    private int unloggedRefusals;
    private int unloggedReclaims;

    MemoryMonitor(Timers timers) {
        this.timers = timers;
        this.loggedAtNanos = timers.now() - LOG_INTERVAL_NANOS;
    }

    /** Publishes the budget's figures as gauges, and logs how the heap is divided. */
    void publish(MemoryBudget budget, MemoryPlan plan, int memoryLimitMegabytes) {
        for (MemoryUse use : MemoryUse.values()) {
            Metrics.registerGauge(Metric.MEMORY_RESERVED, use.label(), () -> budget.reservedBytes(use));
        }
        Runtime runtime = Runtime.getRuntime();
        Metrics.registerGauge(Metric.HEAP, "capacity", budget::capacityBytes);
        Metrics.registerGauge(Metric.HEAP, "used", () -> runtime.totalMemory() - runtime.freeMemory());
        Metrics.registerGauge(Metric.HEAP, "max", runtime::maxMemory);
        LOG.info(LogLine.event("memory divided")
                .with("limit_mb", memoryLimitMegabytes)
                .with("heap_mb", runtime.maxMemory() / BYTES_PER_MEGABYTE)
                .with("capacity_mb", plan.capacityBytes() / BYTES_PER_MEGABYTE)
                .with("responses_mb", plan.responseBytes() / BYTES_PER_MEGABYTE)
                .with("client_connections", plan.maxClientConnections())
                .with("backend_connections", plan.maxBackendConnections())
                .with("endpoints", plan.maxEndpoints())
                .toString());
        warnOfLowLimit(memoryLimitMegabytes);
    }

    private static void warnOfLowLimit(int memoryLimitMegabytes) {
        long neededMegabytes = Runtime.getRuntime().maxMemory() / BYTES_PER_MEGABYTE + OUTSIDE_HEAP_MEGABYTES;
        if (memoryLimitMegabytes > 0 && memoryLimitMegabytes < neededMegabytes) {
            LOG.warning(LogLine.event("memory limit is too low")
                    .with("limit_mb", memoryLimitMegabytes)
                    .with("needed_mb", neededMegabytes)
                    .toString());
        }
    }

    @Override
    public void onRefused(MemoryUse use, long requestedBytes) {
        Metrics.increment(Metric.MEMORY_REFUSALS, use.label());
        unloggedRefusals++;
        log(use);
    }

    @Override
    public void onReclaimed(MemoryUse use) {
        Metrics.increment(Metric.MEMORY_RECLAIMS, use.label());
        unloggedReclaims++;
        log(use);
    }

    private void log(MemoryUse use) {
        long nowNanos = timers.now();
        if (nowNanos - loggedAtNanos < LOG_INTERVAL_NANOS) {
            return;
        }
        LOG.warning(LogLine.event("memory limit reached")
                .with("use", use.label())
                .with("refused", unloggedRefusals)
                .with("reclaimed", unloggedReclaims)
                .toString());
        loggedAtNanos = nowNanos;
        unloggedRefusals = 0;
        unloggedReclaims = 0;
    }
}
