/**
 * The adapter that runs the server's load balancer in the simulator. {@link fawnlb.simulator.SimulatorHost} is run by
 * the {@code wirehost} command, on the main thread. The simulator sends batches of events over standard input and waits
 * for the batch of actions that answers each; its time is in the batches, so that the same input gives the same output.
 */
package fawnlb.simulator;
