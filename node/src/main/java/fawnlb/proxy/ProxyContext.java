package fawnlb.proxy;

import fawnlb.decision.LoadBalancerSettings;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.Timers;

/**
 * What all parts of one proxy share.
 *
 * @param settings the load balancer's settings
 * @param mailbox orders everything that happens to the proxy; its executor is the event loop
 * @param timers the clock and timers of the event loop
 */
public record ProxyContext(LoadBalancerSettings settings, Mailbox mailbox, Timers timers) {
    /** The settings of the request's class. */
    LoadBalancerSettings.RequestClass requestClass(ProxiedRequest request) {
        return settings.requestClass(request.incoming().classIndex());
    }
}
