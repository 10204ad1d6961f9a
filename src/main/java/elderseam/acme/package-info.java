/**
 * The certificate of the CloudEvents listener, from an ACME authority (RFC 8555). {@link
 * elderseam.acme.CertificateManager} decides when to order and notifies the listener, {@link
 * elderseam.acme.CertificateOrder} talks to the authority, {@link elderseam.acme.CertificateStore} keeps keys and chain in a
 * folder. In a fleet one member may order for all: {@link elderseam.acme.SharedCertificateOrder} is that fleet as this
 * package needs it, and {@link elderseam.acme.SecretSealer} encrypts what passes through it. Not loaded while no authority
 * is configured.
 */
package elderseam.acme;
