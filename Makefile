# The commands of the README.
.PHONY: build test lint run figures

build:
	mvn -q -B -DskipTests package

test:
	mvn -B verify

lint:
	mvn -q -B test-compile

run: build
	exec $$(sed -n 's/^run = "exec \(.*\)"/\1/p' deploy/balancer.toml)

# Times to readiness and silences at a share of a core; WORDS as StartFigures --help tells. Some minutes.
figures: build
	mvn -q -B test-compile dependency:build-classpath -Dmdep.outputFile=target/classpath
	java -cp target/test-classes:target/classes:$$(cat target/classpath) elderseam.figures.StartFigures $(WORDS)
	java -cp target/test-classes:target/classes:$$(cat target/classpath) elderseam.figures.GossipFigures
	java -cp target/test-classes:target/classes:$$(cat target/classpath) elderseam.scenario.GossipCost
