/**
 * A certificate authority for tests of certificates, which speaks ACME (RFC 8555) on the loopback.
 * {@link elderseam.testkit.acme.StandInAuthority} answers requests, {@code RequestVerifier} verifies them and
 * {@code CertificateIssuer} signs certificates.
 */
package elderseam.testkit.acme;
