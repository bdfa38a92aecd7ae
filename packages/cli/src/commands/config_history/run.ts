/** Lists the kept versions. */
import { formatTable, formatTime } from "../../text.ts";
import { withVersions } from "../../configuration.ts";
import type { Context } from "../../context.ts";
import { type CommandResult, succeed } from "../../report.ts";

export async function run(context: Context): Promise<CommandResult> {
  const read = await withVersions(
    context,
    async ({ repository }) => await repository.readHistory(),
  );
  return read.map((records) => {
    const versions = records.map(({ version, author, atMs, note, digest }) => ({
      version,
      author,
      atMs,
      note,
      digest,
    }));
    const text = formatTable([
      ["VERSION", "TIME", "AUTHOR", "NOTE"],
      ...versions.map(({ version, author, atMs, note }) => [
        version,
        formatTime(atMs),
        author,
        note,
      ]),
    ]);
    return succeed(text, versions);
  });
}
