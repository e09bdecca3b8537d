// Plays one case: standin CASE FOLDER WORK. Exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
#include <cstdio>
#include <cstdlib>
#include <string>

#include "cases.h"

int main(int argc, char** argv) {
  if (argc != 4) {
    fprintf(stderr, "usage: standin CASE FOLDER WORK\n");
    return 2;
  }
  const auto found = standin::Cases().find(argv[1]);
  if (found == standin::Cases().end()) {
    fprintf(stderr, "no case %s\n", argv[1]);
    return 2;
  }
  return found->second(argv[2], argv[3]);
}
