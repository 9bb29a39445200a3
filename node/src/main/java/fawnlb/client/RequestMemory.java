package fawnlb.client;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.memory.MemoryBudget;
import fawnlb.memory.MemoryReservation;
import fawnlb.memory.MemoryUse;
import io.undertow.server.HttpServerExchange;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import org.xnio.StreamConnection;

/**
 * Reserves the memory of the requests on client connections, without their bodies: of a head while it is being read,
 * and of the request from then to the end of its exchange.
 */
@EventLoopOnly
final class RequestMemory {
    /** What the proxy, the load balancer and a connection to a backend hold for one request. */
    private static final long REQUEST_STATE_BYTES = 4 << 10;

    private final MemoryBudget budget;
    private final Map<StreamConnection, Reservations> reservations = new HashMap<>();

    private record Reservations(RequestHeadSize headSize, MemoryReservation head, MemoryReservation request) {
        void release() {
            head.release();
            request.release();
        }
    }

    RequestMemory(MemoryBudget budget) {
        this.budget = budget;
    }

    /** Adds a connection without a request. */
    void add(StreamConnection connection) {
        reservations.put(
                connection,
                new Reservations(
                        new RequestHeadSize(), budget.open(MemoryUse.REQUEST_HEADS), budget.open(MemoryUse.REQUESTS)));
    }

    /** Releases what is reserved for a connection, which may be absent already. */
    void remove(StreamConnection connection) {
        Reservations removed = reservations.remove(connection);
        if (removed != null) {
            removed.release();
        }
    }

    /**
     * Counts bytes that were read on a connection whose head is not complete, and returns whether a head ends there.
     */
    boolean addHeadBytes(StreamConnection connection, ByteBuffer buffer, int from, int to) {
        Reservations reserved = reservations.get(connection);
        return reserved != null && reserved.headSize().add(buffer, from, to);
    }

    /** Reserves what an incomplete head holds so far. Returns false if there is no room for it. */
    boolean tryReserveHead(StreamConnection connection) {
        Reservations reserved = reservations.get(connection);
        boolean hasRoom = reserved == null
                || reserved.head().tryResize(reserved.headSize().heapBytes());
        releaseIfRemoved(connection, reserved);
        return hasRoom;
    }

    /** Reserves what a request holds whose head is complete. Returns false if there is no room for it. */
    boolean tryReserveRequest(StreamConnection connection, HttpServerExchange exchange) {
        Reservations reserved = reservations.get(connection);
        if (reserved == null) {
            return true;
        }
        reserved.headSize().reset();
        reserved.head().release();
        boolean hasRoom = reserved.request().tryResize(REQUEST_STATE_BYTES + RequestHeadSize.heapBytes(exchange));
        releaseIfRemoved(connection, reserved);
        return hasRoom;
    }

    /** Releases the memory of a request whose exchange is complete. */
    void releaseRequest(StreamConnection connection) {
        Reservations reserved = reservations.get(connection);
        if (reserved != null) {
            reserved.request().release();
        }
    }

    /** To make room, the budget may have had the connection itself closed. */
    private void releaseIfRemoved(StreamConnection connection, Reservations reserved) {
        if (reserved != null && !reservations.containsKey(connection)) {
            reserved.release();
        }
    }
}
