# The commands of the README.
.PHONY: build test lint format style run figures bench engines fuzz long order upgrades crowds

build:
	mvn -q -B -DskipTests package

test:
	mvn -B verify

lint:
	mvn -B test-compile

# Formats all Java sources; mvn verify fails on a source that this would change.
format:
	mvn -q -B spotless:apply

# Names, doc comments, length of files and methods; config/checkstyle/suppressions.xml names what is not up to it yet.
style:
	mvn -q -B checkstyle:check@style

run: build
	exec $$(sed -n 's/^run = "exec \(.*\)"/\1/p' deploy/balancer.toml)

# Times to readiness and silences at a share of a core; WORDS as StartupMeasurements --help tells. Some minutes.
figures: build
	mvn -q -B test-compile dependency:build-classpath -Dmdep.outputFile=target/classpath
	java -cp target/test-classes:target/classes:$$(cat target/classpath) elderseam.figures.StartupMeasurements $(WORDS)
	java -cp target/test-classes:target/classes:$$(cat target/classpath) elderseam.figures.GossipMeasurements
	java -cp target/test-classes:target/classes:$$(cat target/classpath) elderseam.scenario.GossipCost
	java -cp target/test-classes:target/classes:$$(cat target/classpath) elderseam.scenario.RulesCost

# What rules cost, by JMH; WORDS as JMH takes them (a part of a benchmark's name, -p rules=10, -rf json).
bench: build
	mvn -q -B -Pbench test-compile dependency:build-classpath -Dmdep.outputFile=target/classpath
	java -cp target/test-classes:target/classes:$$(cat target/classpath) org.openjdk.jmh.Main -prof gc $(WORDS)

# The fleet's engine beside ZooKeeper with Curator; WORDS: how often the holder is killed. Two minutes.
engines: build
	mvn -q -B -Pbench test-compile dependency:build-classpath -Dmdep.outputFile=target/classpath
	java -cp target/test-classes:target/classes:$$(cat target/classpath) elderseam.fleet.EngineBench $(WORDS)

# Fuzzes the rules' parser, evaluator, JSON reader and files for a minute each; new findings become seeds that tests replay.
fuzz:
	for target in expressions bodies files; do JAZZER_FUZZ=1 mvn -q -B test -Dtest="RulesFuzzTest#$$target" || exit 1; done

# The differential test with 100,000 cases instead of 2,000.
long:
	mvn -q -B test -Dtest=DifferentialTest -Drules.cases=100000

# Runs of the order trial with faults from the seeds FIRST to LAST; some 15 s each. upgrades: with moves of discovery and events.
# crowds: with clients that leave or stall, and large bodies.
FIRST = 1
LAST = 50
order: build
	java -cp target/classes:$$(ls target/lib/*.jar | tr '\n' ':') elderseam.testkit.ordering.OrderSoak $(FIRST) $(LAST)

upgrades: build
	java -cp target/classes:$$(ls target/lib/*.jar | tr '\n' ':') elderseam.testkit.ordering.UpgradeSoak $(FIRST) $(LAST)

crowds: build
	java -cp target/classes:$$(ls target/lib/*.jar | tr '\n' ':') elderseam.testkit.ordering.CrowdSoak $(FIRST) $(LAST)
