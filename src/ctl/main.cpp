#include <iostream>
#include <string>
#include <vector>

#include "libctl/controltool.h"
#include "platform/platformrecorddecoder.h"

int main(int argc, char* argv[]) {
  const fireflytrestle::PlatformRecordDecoder decoder;
  fireflytrestle::ControlTool tool(
      FIREFLYTRESTLE_VERSION, &std::cout, &std::cerr,
      {&decoder, fireflytrestle::PlatformRecordDecoder::kConfigurationKey});
  return tool.Run(
      std::vector<std::string>(argv + (argc > 0 ? 1 : 0), argv + argc));
}
