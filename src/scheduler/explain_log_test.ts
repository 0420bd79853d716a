import assert from "node:assert/strict";
import { suite } from "uvu";
import {
  explainRequest,
  formatTimeline,
  parseLogLines,
} from "./explain_log.ts";

const test = suite("explain");

const LOG = `
   1.2 entry-2 {"time":120,"process":"entry-2","msg":"owner: tasks placed","job":"aa","step":"aa.0.0","count":1,"workers":["w1"]}
{"time":100,"process":"entry-1","msg":"front: job accepted","request":"q1","job":"aa"}
{"time":130,"process":"entry-1","msg":"front: job accepted","request":"q2","job":"bb"}
not a line of ours
{"time":150,"process":"entry-2","msg":"owner: run ended","task":"aa.0.0.0","worker":"w1","ending":"failed"}
{"time":151,"process":"entry-2","msg":"owner: worker fails tasks of different jobs and gets no new ones","worker":"w1"}
{"time":170,"process":"entry-2","msg":"owner: job reached its final status","job":"aa","status":"failed"}
`;

// Guards against a timeline that omits lines of another process or of the worker.
test("the lines of all processes are merged in order of time", () => {
  const timeline = explainRequest("q1", parseLogLines(LOG));
  assert.deepEqual(timeline.jobs, ["aa"]);
  assert.deepEqual(timeline.lines.map(({ time }) => time), [
    100,
    120,
    150,
    151,
    170,
  ]);
  assert.deepEqual(timeline.missing, []);
  assert.match(
    formatTimeline(timeline),
    /20 ms {2}entry-2 {2}owner: tasks placed/,
  );
});

// Guards against a timeline that doesn't show how a job's runs were lost, because the line is about their worker.
test("the loss of a worker is shown for each job that had runs on it", () => {
  const lost =
    `{"time":140,"process":"entry-2","msg":"owner: runs are over with their worker","worker":"w9","runs":["cc.0.0.1 run 2, ran for 3 ms","aa.0.0.0 run 1, ran for 90 ms"]}`;
  const { lines } = explainRequest("aa", parseLogLines(LOG + lost));
  assert.equal(lines.some(({ worker }) => worker === "w9"), true);
  assert.equal(
    explainRequest("q2", parseLogLines(LOG + lost)).lines.some(({ worker }) =>
      worker === "w9"
    ),
    false,
  );
});

// Guards against a timeline that looks complete although logs are missing.
test("missing log lines are reported", () => {
  const timeline = explainRequest("q2", parseLogLines(LOG));
  assert.equal(timeline.missing.length, 2);
  assert.equal(explainRequest("q9", parseLogLines(LOG)).missing.length, 1);
});

test.run();
