/** The command line of the lab: {@link fawnlb.lab.cli.Main} lists and runs scenarios. */
package fawnlb.lab.cli;
