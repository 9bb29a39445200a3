package fawnlb.simulator;

import fawnlb.config.SettingsParser;
import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancer;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.policy.BoundedLoadBalancer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Hosts one {@link BoundedLoadBalancer} for each instance on the simulator's wire: translation only, no decisions. */
public final class SimulatorHost {
    private static final int MAX_ENDPOINT_LISTS = 16;
    private static final int ENDPOINT_BYTES = 22;
    private static final int FLAG_HINTED = 1;
    private static final int FLAG_REPEATED = 2;
    private static final int FLAG_RESUMED = 16;

    private final LoadBalancer.Factory loadBalancerFactory;
    private final BatchReader reader;
    private final OutputStream out;
    private final ActionWriter writer = new ActionWriter();
    private final Map<Integer, LoadBalancer> instances = new HashMap<>();
    private final List<List<Endpoint>> endpointLists = new ArrayList<>();

    public SimulatorHost(InputStream in, OutputStream out) {
        this(in, out, BoundedLoadBalancer::new);
    }

    SimulatorHost(InputStream in, OutputStream out, LoadBalancer.Factory loadBalancerFactory) {
        this.loadBalancerFactory = loadBalancerFactory;
        this.reader = new BatchReader(in);
        this.out = out;
        for (int i = 0; i < MAX_ENDPOINT_LISTS; i++) {
            endpointLists.add(null);
        }
    }

    /** Answers every batch until the input ends. */
    public void run() throws IOException {
        while (reader.readBatch()) {
            for (int i = 0; i < reader.recordCount(); i++) {
                readRecord();
            }
            if (!reader.atEnd()) {
                throw reader.malformed("batch holds more than its records", reader.position());
            }
            writer.writeBatchTo(out);
        }
    }

    private void readRecord() throws IOException {
        long position = reader.position();
        int code = reader.readUnsignedByte();
        int instance = reader.readUnsignedShort();
        switch (code) {
            case 0 -> readAttach(instance);
            case 9 -> instances.remove(instance);
            case 10 -> readEndpointList(instance, position);
            case 1 -> dispatch(instance, readEndpointsUpdated(position));
            case 2 -> dispatch(instance, readRequestArrived());
            case 3 -> dispatch(instance, readResponseStarted());
            case 4 -> dispatch(instance, readAttemptEnded());
            case 5 -> dispatch(instance, new LoadBalancerEvent.ClientDisconnected(reader.readLong()));
            case 6 -> dispatch(instance, new LoadBalancerEvent.TimerFired((int) reader.readUnsignedInt()));
            case 7 ->
                dispatch(
                        instance,
                        new LoadBalancerEvent.HealthChecked(
                                reader.readUnsignedInt(),
                                toAttemptOutcome(reader.readUnsignedByte()),
                                reader.readLong(),
                                readLoadReport()));
            case 8 ->
                dispatch(
                        instance,
                        new LoadBalancerEvent.PeerMessage(
                                reader.readUnsignedInt(), reader.readBytes(reader.readUnsignedShort())));
            default -> throw reader.malformed("unknown record code " + code, position);
        }
    }

    private void dispatch(int instance, LoadBalancerEvent event) {
        LoadBalancer loadBalancer = instances.get(instance);
        if (loadBalancer == null) {
            return;
        }
        try {
            loadBalancer.onEvent(reader.clockNanos(), event);
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            writer.writeModuleFault(
                    instance,
                    e + " on " + event.getClass().getSimpleName() + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private void readAttach(int instance) throws IOException {
        long seed = reader.readLong();
        String settingsText = reader.readText(reader.readCount(1));
        SettingsParser parser = new SettingsParser(settingsText);
        LoadBalancerSettings settings = parser.parse();
        parser.warnings().forEach(System.err::println);
        instances.put(
                instance, loadBalancerFactory.create(settings, seed, action -> writer.writeAction(instance, action)));
    }

    private void readEndpointList(int listNumber, long position) throws IOException {
        if (listNumber >= MAX_ENDPOINT_LISTS) {
            throw reader.malformed("list number " + listNumber + " is not below " + MAX_ENDPOINT_LISTS, position);
        }
        int count = reader.readCount(ENDPOINT_BYTES);
        List<Endpoint> endpoints = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            long readyAtNanos = reader.readLong();
            double size = reader.readFloat();
            EndpointPhase phase = switch (reader.readUnsignedByte()) {
                case 1 -> EndpointPhase.READY;
                case 2 -> EndpointPhase.GONE;
                default -> EndpointPhase.DRAINING;
            };
            int cell = reader.readUnsignedShort();
            long id = reader.readUnsignedInt();
            int zone = reader.readUnsignedByte();
            endpoints.add(new Endpoint(id, phase, readyAtNanos, size, zone, cell, reader.readUnsignedShort()));
        }
        endpointLists.set(listNumber, List.copyOf(endpoints));
    }

    private LoadBalancerEvent.EndpointsUpdated readEndpointsUpdated(long position) throws IOException {
        int kindCode = reader.readUnsignedByte();
        long version = reader.readLong();
        int listNumber = reader.readUnsignedShort();
        if (kindCode > 3) {
            throw reader.malformed("unknown kind of list event " + kindCode, position);
        }
        EndpointUpdateKind kind = EndpointUpdateKind.values()[kindCode];
        if (kind == EndpointUpdateKind.FAILED) {
            return new LoadBalancerEvent.EndpointsUpdated(kind, version, List.of());
        }
        if (listNumber >= MAX_ENDPOINT_LISTS || endpointLists.get(listNumber) == null) {
            throw reader.malformed("unknown list number " + listNumber, position);
        }
        return new LoadBalancerEvent.EndpointsUpdated(kind, version, endpointLists.get(listNumber));
    }

    private LoadBalancerEvent.RequestArrived readRequestArrived() throws IOException {
        long id = reader.readLong();
        int requestClass = reader.readUnsignedShort();
        int tenant = (int) reader.readUnsignedInt();
        long session = reader.readLong();
        long expiresInNanos = reader.readLong();
        long hint = reader.readLong();
        long prefix = reader.readLong();
        double promptTokens = reader.readFloat();
        double sharedPrefixTokens = reader.readFloat();
        double maxOutputTokens = reader.readFloat();
        int flags = reader.readUnsignedByte();
        return new LoadBalancerEvent.RequestArrived(
                id,
                requestClass,
                tenant,
                session,
                prefix,
                expiresInNanos,
                hint,
                promptTokens,
                sharedPrefixTokens,
                maxOutputTokens,
                (flags & FLAG_HINTED) != 0,
                (flags & FLAG_REPEATED) != 0,
                (flags & FLAG_RESUMED) != 0);
    }

    private LoadBalancerEvent.ResponseStarted readResponseStarted() throws IOException {
        long id = reader.readLong();
        int attempt = reader.readUnsignedByte();
        long endpoint = reader.readUnsignedInt();
        return new LoadBalancerEvent.ResponseStarted(id, attempt, endpoint, reader.readLong());
    }

    private LoadBalancerEvent.AttemptEnded readAttemptEnded() throws IOException {
        long id = reader.readLong();
        long elapsedNanos = reader.readLong();
        int attempt = reader.readUnsignedByte();
        AttemptOutcome outcome = toAttemptOutcome(reader.readUnsignedByte());
        long endpoint = reader.readUnsignedInt();
        boolean isRequestOver = reader.readUnsignedByte() != 0;
        long cachedTokens = reader.readUnsignedInt();
        return new LoadBalancerEvent.AttemptEnded(
                id, attempt, endpoint, outcome, isRequestOver, elapsedNanos, cachedTokens, readLoadReport());
    }

    private List<Double> readLoadReport() throws IOException {
        int count = reader.readUnsignedByte();
        if (count == 0) {
            return List.of();
        }
        List<Double> values = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            values.add(reader.readFloat());
        }
        return values;
    }

    /** Unknown codes count as an error that may have run. */
    private static AttemptOutcome toAttemptOutcome(int code) {
        return switch (code) {
            case 10 -> AttemptOutcome.SERVED;
            case 30 -> AttemptOutcome.FULL;
            case 40 -> AttemptOutcome.TIMEOUT;
            case 50 -> AttemptOutcome.CONNECT_FAILED;
            case 60 -> AttemptOutcome.RESET;
            case 70 -> AttemptOutcome.CANCELLED;
            case 80 -> AttemptOutcome.NEVER_SENT;
            default -> AttemptOutcome.ERROR;
        };
    }
}
