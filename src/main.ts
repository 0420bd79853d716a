import process from "node:process";
import { runCli } from "./cli.ts";

void runCli(process.argv);
