/** A stand-in ACME authority (RFC 8555) on the loopback, for tests of certificates. */
package elderseam.testkit.acme;
