/**
 * The program's entry point and its sub-commands, a class for each. {@link fawnlb.cli.Main} runs the command on the
 * main thread; {@code serve} returns from it when the server has started, and its handlers of signals run on threads of
 * the platform.
 */
package fawnlb.cli;
