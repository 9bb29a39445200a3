/**
 * The configuration files and what is read from them. {@link fawnlb.config.ServerConfiguration} is the file that every
 * server needs, {@link fawnlb.config.MessagesConfiguration}, {@link fawnlb.config.StartupConfiguration} and
 * {@link fawnlb.config.StreamConfiguration} are those that operators may add, and {@link fawnlb.config.SettingsParser}
 * reads the settings of the load balancer, also for the simulator.
 *
 * <p>The commands in {@code cli} read the files on the thread that starts the server, or on that of SIGHUP. The records
 * are immutable and used on any thread. What is wrong with a file is a {@link fawnlb.config.ConfigurationException},
 * whose message an operator sees as one line; settings of the load balancer that cannot be read are warnings, since a
 * server with a default serves better than none.
 */
package fawnlb.config;
