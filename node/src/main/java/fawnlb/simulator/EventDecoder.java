package fawnlb.simulator;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerEvent;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes the records that are events for a load balancer, and keeps the endpoint lists to which they refer. The fields
 * are read in the order in which the format has them. It is used by the thread of its reader.
 */
final class EventDecoder {
    private static final int MAX_ENDPOINT_LISTS = 16;
    private static final int ENDPOINT_BYTES = 22;
    private static final int FLAG_HAS_HINTS = 1;
    private static final int FLAG_IS_RETRY = 2;
    private static final int FLAG_IS_RESUMED = 16;
    /** The format's codes for kinds of updates are the indexes of this list. */
    private static final List<EndpointUpdateKind> UPDATE_KINDS = List.of(
            EndpointUpdateKind.DELTA, EndpointUpdateKind.FULL, EndpointUpdateKind.CACHED, EndpointUpdateKind.FAILED);

    private final BatchReader reader;
    /** By the list's number; null for a list that has not been defined. */
    private final List<List<Endpoint>> endpointLists = new ArrayList<>();

    EventDecoder(BatchReader reader) {
        this.reader = reader;
        for (int i = 0; i < MAX_ENDPOINT_LISTS; i++) {
            endpointLists.add(null);
        }
    }

    /**
     * Reads the definition of an endpoint list.
     *
     * @param recordPosition the position of the record, for the exception
     */
    void readEndpointList(int listNumber, long recordPosition) throws MalformedBatchException {
        if (listNumber >= MAX_ENDPOINT_LISTS) {
            throw reader.malformed("list number " + listNumber + " is not below " + MAX_ENDPOINT_LISTS, recordPosition);
        }
        int count = reader.readCount(ENDPOINT_BYTES);
        List<Endpoint> endpoints = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            endpoints.add(readEndpoint());
        }
        endpointLists.set(listNumber, List.copyOf(endpoints));
    }

    private Endpoint readEndpoint() throws MalformedBatchException {
        long readyAtNanos = reader.readLong();
        double size = reader.readFloat();
        EndpointPhase phase = toEndpointPhase(reader.readUnsignedByte());
        int cell = reader.readUnsignedShort();
        EndpointId id = readEndpointId();
        int zone = reader.readUnsignedByte();
        int kind = reader.readUnsignedShort();
        return new Endpoint(id, phase, readyAtNanos, size, zone, cell, kind);
    }

    private EndpointId readEndpointId() throws MalformedBatchException {
        return EndpointId.ofNumber(reader.readUnsignedInt());
    }

    private static EndpointPhase toEndpointPhase(int code) {
        return switch (code) {
            case 1 -> EndpointPhase.READY;
            case 2 -> EndpointPhase.GONE;
            default -> EndpointPhase.DRAINING;
        };
    }

    /**
     * Reads an event.
     *
     * @param code the record's code, which has been read, as the number of the instance has
     * @param recordPosition the position of the record, for the exception
     */
    LoadBalancerEvent readEvent(int code, long recordPosition) throws MalformedBatchException {
        return switch (code) {
            case RecordCodes.ENDPOINTS_UPDATED -> readEndpointsUpdated(recordPosition);
            case RecordCodes.REQUEST_ARRIVED -> readRequestArrived();
            case RecordCodes.RESPONSE_STARTED -> readResponseStarted();
            case RecordCodes.ATTEMPT_ENDED -> readAttemptEnded();
            case RecordCodes.CLIENT_DISCONNECTED -> new LoadBalancerEvent.ClientDisconnected(reader.readLong());
            case RecordCodes.TIMER_FIRED -> new LoadBalancerEvent.TimerFired((int) reader.readUnsignedInt());
            case RecordCodes.HEALTH_CHECKED -> readHealthChecked();
            case RecordCodes.PEER_MESSAGE -> readPeerMessage();
            default -> throw reader.malformed("unknown record code " + code, recordPosition);
        };
    }

    private LoadBalancerEvent readEndpointsUpdated(long recordPosition) throws MalformedBatchException {
        int kindCode = reader.readUnsignedByte();
        long version = reader.readLong();
        int listNumber = reader.readUnsignedShort();
        if (kindCode >= UPDATE_KINDS.size()) {
            throw reader.malformed("unknown kind of list event " + kindCode, recordPosition);
        }
        EndpointUpdateKind kind = UPDATE_KINDS.get(kindCode);
        if (kind == EndpointUpdateKind.FAILED) {
            return new LoadBalancerEvent.EndpointsUpdated(kind, version, List.of());
        }
        if (listNumber >= MAX_ENDPOINT_LISTS || endpointLists.get(listNumber) == null) {
            throw reader.malformed("unknown list number " + listNumber, recordPosition);
        }
        return new LoadBalancerEvent.EndpointsUpdated(kind, version, endpointLists.get(listNumber));
    }

    private LoadBalancerEvent readRequestArrived() throws MalformedBatchException {
        long requestId = reader.readLong();
        int classIndex = reader.readUnsignedShort();
        int tenantIndex = (int) reader.readUnsignedInt();
        long sessionKey = reader.readLong();
        long timeoutNanos = reader.readLong();
        long workHint = reader.readLong();
        long prefixKey = reader.readLong();
        double promptTokens = reader.readFloat();
        double prefixTokens = reader.readFloat();
        double maxTokens = reader.readFloat();
        int flags = reader.readUnsignedByte();
        return new LoadBalancerEvent.RequestArrived(
                requestId,
                classIndex,
                tenantIndex,
                sessionKey,
                prefixKey,
                timeoutNanos,
                workHint,
                promptTokens,
                prefixTokens,
                maxTokens,
                (flags & FLAG_HAS_HINTS) != 0,
                (flags & FLAG_IS_RETRY) != 0,
                (flags & FLAG_IS_RESUMED) != 0);
    }

    private LoadBalancerEvent readResponseStarted() throws MalformedBatchException {
        long requestId = reader.readLong();
        int attempt = reader.readUnsignedByte();
        EndpointId endpointId = readEndpointId();
        long elapsedNanos = reader.readLong();
        return new LoadBalancerEvent.ResponseStarted(requestId, attempt, endpointId, elapsedNanos);
    }

    private LoadBalancerEvent readAttemptEnded() throws MalformedBatchException {
        long requestId = reader.readLong();
        long elapsedNanos = reader.readLong();
        int attempt = reader.readUnsignedByte();
        AttemptOutcome outcome = toAttemptOutcome(reader.readUnsignedByte());
        EndpointId endpointId = readEndpointId();
        boolean isRequestOver = reader.readUnsignedByte() != 0;
        long cachedTokens = reader.readUnsignedInt();
        List<Double> loadReport = readLoadReport();
        return new LoadBalancerEvent.AttemptEnded(
                requestId, attempt, endpointId, outcome, isRequestOver, elapsedNanos, cachedTokens, loadReport);
    }

    private LoadBalancerEvent readHealthChecked() throws MalformedBatchException {
        EndpointId endpointId = readEndpointId();
        AttemptOutcome outcome = toAttemptOutcome(reader.readUnsignedByte());
        long elapsedNanos = reader.readLong();
        return new LoadBalancerEvent.HealthChecked(endpointId, outcome, elapsedNanos, readLoadReport());
    }

    private LoadBalancerEvent readPeerMessage() throws MalformedBatchException {
        long sender = reader.readUnsignedInt();
        int length = reader.readUnsignedShort();
        return new LoadBalancerEvent.PeerMessage(sender, reader.readBytes(length));
    }

    private List<Double> readLoadReport() throws MalformedBatchException {
        int count = reader.readUnsignedByte();
        List<Double> values = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            values.add(reader.readFloat());
        }
        return values;
    }

    /** Decodes an outcome. An unknown code counts as an error after which the request may have run. */
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
