/** When to call service discovery, decided without I/O and without a clock. */
package fawnlb.membership;
