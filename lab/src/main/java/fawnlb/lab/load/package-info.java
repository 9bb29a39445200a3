/**
 * Emulated clients.
 *
 * <p>{@link fawnlb.lab.load.ArrivalPlan} draws the arrivals of a run before it starts and
 * {@link fawnlb.lab.load.LoadGenerator} sends them; {@link fawnlb.lab.load.LoadClient} sends single requests and
 * returns their responses; {@link fawnlb.lab.load.SlowReaderClients} are clients that read slowly. Scenarios create
 * them. Generator and client belong to the I/O thread that they are created with.
 */
package fawnlb.lab.load;
