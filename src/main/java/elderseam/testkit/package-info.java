/**
 * The test kit: emulator and lab, fault tests with real processes, gossip in virtual time, a stand-in ACME authority, and
 * the policy on the simulator's wire. It uses the server; nothing of the server uses it ({@code ArchitectureTest}).
 */
package elderseam.testkit;
