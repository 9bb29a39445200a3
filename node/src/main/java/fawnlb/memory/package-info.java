/**
 * The memory that clients and servers can make this process hold, as one budget.
 *
 * <p>{@link fawnlb.memory.MemoryBudget} has a capacity, a part of the heap. Code that keeps bytes of a client or of a
 * server opens a {@link fawnlb.memory.MemoryReservation} and keeps it at the size of what is reachable. A reservation
 * for a request that does not fit is refused, after a {@link fawnlb.memory.MemoryReclaimer} has ended what holds memory
 * without need, if there is such a thing. {@link fawnlb.memory.MemoryPlan} divides the heap.
 *
 * <p>There is no I/O and no clock. A budget and its reservations belong to one event loop thread.
 */
package fawnlb.memory;
