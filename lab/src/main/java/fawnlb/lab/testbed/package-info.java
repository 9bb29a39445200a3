/**
 * The environment of a scenario.
 *
 * <p>{@link fawnlb.lab.testbed.Testbed} puts emulated backends, a discovery service, emulated clients and real nodes
 * together; {@link fawnlb.lab.testbed.FleetSchedule} changes the fleet at given times; {@link fawnlb.lab.testbed.Tasks}
 * runs work on other threads. Scenarios and system tests use it on their own thread.
 */
package fawnlb.lab.testbed;
