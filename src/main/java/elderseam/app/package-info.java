/**
 * The application: puts the parts below together into one running process. Nothing below imports this package, only
 * {@code elderseam.Main} above it does.
 *
 * <ul>
 *   <li>Start and end: {@link elderseam.app.DispatcherServer} builds and starts a process; {@code StartupWarmup}
 *       runs what the first second needs, {@code GracefulShutdown} follows SIGTERM, {@code ClientDrain} an operator's
 *       LAMEDUCK.
 *   <li>Upgrade (decided in {@code elderseam.handover}): {@code OwnershipAcquisition} and {@code StandbyWarmup} in
 *       the newer process; {@code OwnershipTransfer} and {@code TransferableDispatcher} in the older one.
 *   <li>Configuration: {@code OperatorSettings} reads it, {@code ReloadTrigger} says when to read it again, {@code
 *       LiveConfiguration} applies what may change.
 *   <li>Optional parts, each loaded only where it is on: {@code CloudEventsSetup}, {@code RulesSetup}, and behind
 *       {@code FleetServices} the {@code GossipService}, {@code PartitionService}, {@code LeaseService} with the leased
 *       tasks, and {@code VersionService}.
 *   <li>Beside the server: {@link elderseam.app.ClassArchiveTraining} for the class-data archive of the build, and
 *       {@code elderseam.testkit}.
 * </ul>
 */
package elderseam.app;
