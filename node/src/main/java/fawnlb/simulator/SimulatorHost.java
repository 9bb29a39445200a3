package fawnlb.simulator;

import fawnlb.config.SettingsParser;
import fawnlb.decision.LoadBalancer;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.policy.BoundedLoadBalancer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.Map;

/**
 * Hosts the load balancers of the simulator's instances. It reads batches of events, passes each event to the load
 * balancer of its instance, and answers each batch with the actions of the load balancers. It decides nothing. It is
 * used by one thread.
 */
public final class SimulatorHost {
    private final LoadBalancer.Factory loadBalancerFactory;
    private final BatchReader reader;
    private final EventDecoder decoder;
    private final OutputStream out;
    private final ActionWriter writer = new ActionWriter();
    private final Map<Integer, LoadBalancer> instances = new HashMap<>();

    /** Creates a host of the load balancers that the server uses, too. */
    public SimulatorHost(InputStream in, OutputStream out) {
        this(in, out, BoundedLoadBalancer::new);
    }

    SimulatorHost(InputStream in, OutputStream out, LoadBalancer.Factory loadBalancerFactory) {
        this.loadBalancerFactory = loadBalancerFactory;
        this.reader = new BatchReader(in);
        this.decoder = new EventDecoder(reader);
        this.out = out;
    }

    /**
     * Answers every batch until the input ends.
     *
     * @throws MalformedBatchException if a batch breaks the format
     * @throws IOException if the input cannot be read or the output not be written
     */
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

    private void readRecord() throws MalformedBatchException {
        long position = reader.position();
        int code = reader.readUnsignedByte();
        int instance = reader.readUnsignedShort();
        switch (code) {
            case RecordCodes.ATTACH_INSTANCE -> attachInstance(instance);
            case RecordCodes.DETACH_INSTANCE -> instances.remove(instance);
            // The format has the list's number where other records have the instance's.
            case RecordCodes.ENDPOINT_LIST -> decoder.readEndpointList(instance, position);
            default -> dispatch(instance, decoder.readEvent(code, position));
        }
    }

    private void attachInstance(int instance) throws MalformedBatchException {
        long seed = reader.readLong();
        String settingsText = reader.readText(reader.readCount(1));
        SettingsParser parser = new SettingsParser(settingsText);
        LoadBalancerSettings settings = parser.parse();
        parser.warnings().forEach(System.err::println);
        LoadBalancer loadBalancer =
                loadBalancerFactory.create(settings, seed, action -> writer.writeAction(instance, action));
        instances.put(instance, loadBalancer);
    }

    private void dispatch(int instance, LoadBalancerEvent event) {
        LoadBalancer loadBalancer = instances.get(instance);
        if (loadBalancer == null) {
            return;
        }
        try {
            loadBalancer.onEvent(reader.clockNanos(), event);
        } catch (RuntimeException e) {
            // The format reports a failed load balancer to the simulator, which goes on with the other instances.
            writer.writeFault(instance, describe(e, event));
        }
    }

    private static String describe(RuntimeException e, LoadBalancerEvent event) {
        StackTraceElement[] trace = e.getStackTrace();
        String place = trace.length > 0 ? " at " + trace[0] : "";
        return e + " on " + event.getClass().getSimpleName() + place;
    }
}
