/**
 * The soak: many real nodes under overlapping faults.
 *
 * <p>{@link fawnlb.lab.soak.Soak} is the scenario. It draws faults, which {@code SoakFaults} dispatches to
 * {@code NodeFaults}, {@code BackendFaults} and {@code ClientFaults}. Each fault runs on a thread of its own.
 */
package fawnlb.lab.soak;
